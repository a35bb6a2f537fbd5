"""Identifiers, each of its own type so that type checks tell them apart."""

import typing

InstanceId = typing.NewType('InstanceId', str)
Incarnation = typing.NewType('Incarnation', int)
FailureDomain = typing.NewType('FailureDomain', str)
# Name of a client account of the published text.
AccountName = typing.NewType('AccountName', str)
ClubName = typing.NewType('ClubName', str)
TargetName = typing.NewType('TargetName', str)
ServiceName = typing.NewType('ServiceName', str)
TrainerName = typing.NewType('TrainerName', str)
ModelName = typing.NewType('ModelName', str)
# "host:port" of a replica; unique within a federation.
ReplicaAddress = typing.NewType('ReplicaAddress', str)
Version = typing.NewType('Version', int)
# Offset in the configuration stream of the accepted edit; -1 before the
# first one.
Revision = typing.NewType('Revision', int)
Offset = typing.NewType('Offset', int)
FencingToken = typing.NewType('FencingToken', int)
StepNumber = typing.NewType('StepNumber', int)
GroupId = typing.NewType('GroupId', str)
SampleId = typing.NewType('SampleId', str)
RequestId = typing.NewType('RequestId', str)
GrantId = typing.NewType('GrantId', str)
RouteName = typing.NewType('RouteName', str)
ReplicaId = typing.NewType('ReplicaId', str)
JobId = typing.NewType('JobId', str)
ItemId = typing.NewType('ItemId', str)
LeaseName = typing.NewType('LeaseName', str)
# Offset in the work log of the record that claimed the lease.
Term = typing.NewType('Term', int)

NO_REVISION = Revision(-1)


def make_sample_id(
    trainer: TrainerName, step: StepNumber, group: GroupId, index: int
) -> SampleId:
    """Builds the id of a sample, which all of its attempts share."""
    return SampleId(f'{trainer}/{step}/{group}/{index}')
