"""Test the ports that the launcher gives to the programs of a fleet."""

from standins import launcher


class FakeSocket:
    """Bind to ports in a given order, as the system may repeat one."""

    ports = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None

    def bind(self, _address):
        """Take the next port."""
        self.port = self.ports.pop(0)

    def getsockname(self):
        """Return the address."""
        return ('127.0.0.1', self.port)


# Fails if two programs of a fleet get one port, as the first has not bound it
# when the second is drawn; the program that starts later then ends at once.
def test_no_port_is_given_out_twice(monkeypatch):
    monkeypatch.setattr(FakeSocket, 'ports', [40001, 40001, 40002])
    monkeypatch.setattr(launcher.socket, 'socket', FakeSocket)
    assert launcher.free_port() != launcher.free_port()
