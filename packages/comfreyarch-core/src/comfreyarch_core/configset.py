"""The typed configuration that operators publish."""

from dataclasses import dataclass, field
from typing import Any

from comfreyarch_core import objects

# Unchecked configuration: kind of object → object name → field → value.
RawSet = dict[str, dict[str, dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class ConfigSet:
    """All objects of a configuration, each kind by object name."""

    model_groups: dict[str, objects.ModelGroup] = field(default_factory=dict)
    expert_maps: dict[str, objects.ExpertMap] = field(default_factory=dict)
    service_groups: dict[str, objects.ServiceGroup] = field(
        default_factory=dict,
    )
    upstreams: dict[str, objects.Upstream] = field(default_factory=dict)
    teams: dict[str, objects.Team] = field(default_factory=dict)
    routes: dict[str, objects.Route] = field(default_factory=dict)
    objectives: dict[str, objects.Objective] = field(default_factory=dict)
    stops: dict[str, objects.Stop] = field(default_factory=dict)
    evacuations: dict[str, objects.Evacuation] = field(default_factory=dict)
    quarantines: dict[str, objects.Quarantined] = field(default_factory=dict)

    def pool_of(self, group: str) -> str:
        """Return the name of the pool that a group's requests are routed over.

        :param group: name of a model group or a service group.
        :returns: the model, which several groups may serve, or the name of
            the service group.
        """
        model_group = self.model_groups.get(group)
        return group if model_group is None else model_group.model

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose upstreams get no new request.

        :returns: zones, also those without an upstream.
        """
        return frozenset(
            evacuation.availability_zone
            for evacuation in self.evacuations.values()
        )

    def is_evacuated(self, zone: str) -> bool:
        """Check whether an availability zone is evacuated.

        :returns: True if its upstreams get no new request.
        """
        return zone in self.evacuated_zones()
