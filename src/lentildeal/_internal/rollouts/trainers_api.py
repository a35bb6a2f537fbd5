"""Plug-in ``trainers``: HTTP interface and message handlers for steps."""

from __future__ import annotations

import typing

import eventlet
from loguru import logger

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.models import text as text_module
from lentildeal._internal.network import http_server
from lentildeal._internal.rollouts import causes
from lentildeal._internal.rollouts import coordinator as coordinator_module
from lentildeal._internal.rollouts import delivery
from lentildeal._internal.rollouts import messages
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import requests
from lentildeal._internal.rollouts import steps

FORWARD_TIMEOUT_S = 2.0
ATTACHMENTS_INTERVAL_S = 0.5
REPEAT_REMEDY = 'repeat the call, which is safe, or attach again'
STEP_ROUTE = '/v1/trainers/{trainer}/steps/{step}'

Coordinator = coordinator_module.StepCoordinator


@plugins.register('trainers', after=('config', 'membership', 'callers'))
class TrainersApi(plugins.Plugin):
    """Manages the coordinators of steps opened at this daemon."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        # Latest attachment of each trainer at this daemon, open or closed. A
        # closed one keeps its finished samples until they are acknowledged.
        self._coordinators: dict[ids.TrainerName, Coordinator] = {}
        self._predictors: dict[ids.TrainerName, ordering.LengthPredictor] = {}
        endpoint = kernel.settings.platform.weights
        self._store = base.weight_stores.make(endpoint.adapter, endpoint)

    def start(self) -> None:
        """See the base class."""
        router = self._kernel.router
        router.add('POST', STEP_ROUTE, self._attach)
        router.add('POST', f'{STEP_ROUTE}/ack', self._acknowledge)
        router.add(
            'POST', '/v1/trainers/{trainer}/versions', self._announce_version
        )
        network = self._kernel.peers
        network.handle(messages.Pull, self._on_pull)
        network.handle(messages.Done, self._on_done)
        network.handle(messages.Failed, self._on_failed)
        network.handle(messages.Progress, self._on_progress)
        network.handle(messages.Ack, self._on_ack)
        network.handle(messages.NewVersion, self._on_new_version)
        network.on_disconnect(self._on_disconnect)
        self._membership.on_change(self._on_members_changed)
        self._membership.on_version(self._on_model_version)
        self._kernel.spawn('attachments', self._watch_attachments)

    def stop(self) -> None:
        """See the base class."""
        for coordinator in self._coordinators.values():
            coordinator.close('the daemon is stopping')

    def list_open_steps(self) -> list[causes.StepView]:
        """Steps whose stream is open at this daemon."""
        return [
            coordinator.view
            for coordinator in self._coordinators.values()
            if coordinator.is_open
        ]

    @property
    def _membership(self) -> typing.Any:
        return self._kernel.plugin('membership')

    # HTTP routes.

    def _attach(self, request: http_server.Request) -> http_server.Response:
        name, trainer = self._find_trainer(request)
        step = requests.parse_step_number(request.parameters['step'])
        body = requests.decode(requests.StepBody, request.body)
        plan = requests.make_plan(name, step, trainer, body)
        self._check_attachment(name, body.attachment)
        key = messages.StepKey(name, step, body.attachment)
        known_version = self._membership.versions().get(
            trainer.model, body.version
        )
        predictor = self._predictors.setdefault(
            name, ordering.LengthPredictor()
        )
        predictor.clear_groups()
        version = ids.Version(max(body.version, known_version))
        state = steps.StepState(plan, version, predictor)
        coordinator = Coordinator(self._kernel, key, trainer, state)
        finished = self._close_previous(coordinator)
        self._coordinators[name] = coordinator
        self._publish_attachments()
        coordinator.start(finished)
        return http_server.Response(
            200, {'Content-Type': delivery.CONTENT_TYPE}, coordinator.stream
        )

    def _acknowledge(
        self, request: http_server.Request
    ) -> http_server.Response:
        name, _ = self._find_trainer(request)
        step = requests.parse_step_number(request.parameters['step'])
        body = requests.decode(requests.AckBody, request.body)
        attachment = -1 if body.attachment is None else body.attachment
        message = messages.Ack(name, step, body.cursor, attachment)
        instance = self._find_coordinator_instance(name)
        if instance is None:
            raise exceptions.NotRunError(
                f'no daemon is known to serve step {step} of {name}',
                cause=outcomes.Cause.OWNER_UNREACHABLE.value,
                remedy='repeat the acknowledgement, or attach again',
            )
        released = self._forward(instance, message)
        return http_server.json_response({'released': released})

    def _announce_version(
        self, request: http_server.Request
    ) -> http_server.Response:
        name, trainer = self._find_trainer(request)
        body = requests.decode(requests.VersionBody, request.body)
        self._check_version(trainer.model, body.version)
        self._membership.announce_version(trainer.model, body.version)
        self._forward_version(name, body.version)
        return http_server.json_response({'version': body.version})

    def _forward_version(
        self, name: ids.TrainerName, version: ids.Version
    ) -> None:
        """Sends a version to the coordinator before heartbeats deliver it."""
        instance = self._find_coordinator_instance(name)
        if instance is None:
            return
        try:
            self._forward(instance, messages.NewVersion(name, version))
        except exceptions.LentildealError as error:
            logger.debug(
                'cannot forward version {} of {}: {}', version, name, error
            )

    def _find_trainer(
        self, request: http_server.Request
    ) -> tuple[ids.TrainerName, text_module.Trainer]:
        text = self._kernel.plugin('config').text
        if text is None:
            raise exceptions.NotRunError(
                'no configuration is in effect yet',
                cause=outcomes.Cause.NO_CONFIGURATION.value,
            )
        name = ids.TrainerName(request.parameters['trainer'])
        if name not in text.trainers:
            raise exceptions.NotFoundError(
                f'the text in effect has no trainer {name!r}'
            )
        return name, text.trainers[name]

    def _check_attachment(self, name: ids.TrainerName, number: int) -> None:
        known = self._latest_attachment(name)
        if number <= known:
            raise exceptions.BadRequestError(
                f'attachment {number} of {name} is not above {known}, the'
                ' latest one',
                remedy=f'attach with a number above {known}',
            )

    def _check_version(
        self, model: ids.ModelName, version: ids.Version
    ) -> None:
        """Rejects a version that the weight store does not have yet.

        If the store does not respond, the version is accepted: a missing
        version makes loads fail, but does not mislabel samples.
        """
        if version <= self._membership.versions().get(model, -1):
            return
        try:
            latest = self._store.get_latest(model)
        except exceptions.PlatformError:
            return
        if latest < version:
            raise exceptions.BadRequestError(
                f'the weight store has version {latest} of {model},'
                f' not {version}',
                remedy='put the version into the store, then announce it',
            )

    # Attachments.

    def _latest_attachment(self, name: ids.TrainerName) -> int:
        numbers = [-1]
        if name in self._coordinators:
            numbers.append(self._coordinators[name].key.number)
        if name in self._membership.attachments():
            _, attachment = self._membership.attachments()[name]
            numbers.append(attachment.number)
        return max(numbers)

    def _find_coordinator_instance(
        self, name: ids.TrainerName
    ) -> typing.Optional[ids.InstanceId]:
        own_instance = self._kernel.settings.instance
        instance, attachment = self._membership.attachments().get(
            name, (None, None)
        )
        local = self._coordinators.get(name)
        if local is not None and (
            attachment is None or local.key.number >= attachment.number
        ):
            return own_instance
        return instance

    def _forward(self, instance: ids.InstanceId, message) -> typing.Any:
        try:
            return self._kernel.peers.call(
                instance, message, FORWARD_TIMEOUT_S
            )
        except exceptions.PeerUnreachableError as error:
            raise exceptions.NotRunError(
                f'the coordinator is unreachable: {error.message}',
                cause=outcomes.Cause.OWNER_UNREACHABLE.value,
                remedy=REPEAT_REMEDY,
            ) from error
        except exceptions.PeerError as error:
            # The coordinator may have applied it before the response was lost.
            raise exceptions.MayHaveRunError(
                f'the coordinator did not respond: {error.message}',
                remedy=REPEAT_REMEDY,
            ) from error

    def _close_previous(
        self, coordinator: Coordinator
    ) -> list[samples.Sample]:
        """Closes the previous attachment and returns reusable samples."""
        previous = self._coordinators.get(coordinator.key.trainer)
        if previous is None:
            return []
        previous.close('the trainer has attached again')
        old, new = previous.state.plan, coordinator.state.plan
        if (old.step, old.max_tokens) != (new.step, new.max_tokens):
            return []
        prompts = {prompt.group: prompt for prompt in new.prompts}
        unchanged = {p.group for p in old.prompts if prompts.get(p.group) == p}
        return [
            sample
            for sample in previous.state.iter_unacknowledged()
            if sample.group in unchanged
        ]

    def _publish_attachments(self) -> None:
        self._membership.set_attachments(
            tuple(c.attachment for c in self._coordinators.values())
        )

    def _on_members_changed(self) -> None:
        self._drop_superseded()
        for coordinator in self._coordinators.values():
            if coordinator.is_open:
                coordinator.check_members()

    def _watch_attachments(self) -> None:
        """Checks at intervals, as attachments cause no membership change."""
        while True:
            eventlet.sleep(ATTACHMENTS_INTERVAL_S)
            self._drop_superseded()

    def _drop_superseded(self) -> None:
        """Closes streams whose trainer has since attached elsewhere."""
        own_instance = self._kernel.settings.instance
        for name, (instance, known) in self._membership.attachments().items():
            local = self._coordinators.get(name)
            if local is None or instance == own_instance:
                continue
            if known.number > local.key.number:
                local.close(f'{name} has attached at {instance}')
                del self._coordinators[name]
                self._publish_attachments()

    # Messages.

    def _find_coordinator(
        self, key: messages.StepKey
    ) -> typing.Optional[Coordinator]:
        coordinator = self._coordinators.get(key.trainer)
        if coordinator is None or coordinator.key != key:
            return None
        return coordinator

    def _on_pull(self, instance, message: messages.Pull) -> messages.Items:
        coordinator = self._find_coordinator(message.key)
        if coordinator is None:
            return messages.Items(is_open=False)
        return coordinator.handle_pull(instance, message)

    def _on_done(self, instance, message: messages.Done) -> None:
        coordinator = self._find_coordinator(message.key)
        if coordinator is not None:
            coordinator.handle_result(instance, message)

    def _on_failed(self, instance, message: messages.Failed) -> None:
        coordinator = self._find_coordinator(message.key)
        if coordinator is not None:
            coordinator.handle_failure(instance, message)

    def _on_progress(self, instance, message: messages.Progress) -> None:
        coordinator = self._find_coordinator(message.key)
        if coordinator is not None and coordinator.is_open:
            coordinator.handle_progress(instance, message)
        elif message.attempts:
            numbers = tuple(entry[0] for entry in message.attempts)
            cancel = messages.Cancel(message.key, numbers)
            eventlet.spawn_n(self._notify, instance, cancel)

    def _on_ack(self, _, message: messages.Ack) -> int:
        coordinator = self._coordinators.get(message.trainer)
        if coordinator is None or coordinator.key.step != message.step:
            return 0
        if message.attachment not in (-1, coordinator.key.number):
            return 0
        return coordinator.state.acknowledge(message.cursor)

    def _on_new_version(self, _, message: messages.NewVersion) -> None:
        coordinator = self._coordinators.get(message.trainer)
        if coordinator is not None and coordinator.is_open:
            coordinator.set_version(message.version)

    def _on_model_version(
        self, model: ids.ModelName, version: ids.Version
    ) -> None:
        """Applies a version to all steps of its model.

        Trainers that share a model use the latest version that any of them
        has announced, because the engines load it for all of them.
        """
        for coordinator in self._coordinators.values():
            if coordinator.is_open and coordinator.trainer.model == model:
                coordinator.set_version(version)

    def _on_disconnect(self, instance, _) -> None:
        for coordinator in self._coordinators.values():
            if coordinator.is_open:
                coordinator.handle_lost_instance(instance)

    def _notify(self, instance, message) -> None:
        try:
            self._kernel.peers.notify(instance, message)
        except exceptions.PeerError:
            # The next progress notice causes the same cancellation.
            return
