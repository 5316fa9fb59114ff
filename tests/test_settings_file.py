"""Test that changes of a settings file are detected without a signal."""

from comfreyarch_daemon.settingsfile import SettingsFileWatcher


def test_a_change_is_noticed_once(tmp_path):
    path = tmp_path / 'settings'
    path.write_text('one')
    calls = []
    file = SettingsFileWatcher(path, lambda: calls.append(path.read_text()))
    file.check()
    assert calls == []
    path.write_text('another')
    file.check()
    file.check()
    assert calls == ['another']


def test_a_file_that_is_missing_for_a_moment_changes_nothing(tmp_path):
    path = tmp_path / 'settings'
    path.write_text('one')
    calls = []
    file = SettingsFileWatcher(path, lambda: calls.append(1))
    path.unlink()
    file.check()
    assert calls == []
    other = tmp_path / 'other'
    other.write_text('two')
    other.rename(path)
    file.check()
    assert calls == [1]
