/**
Announcements of upstreams on this host: holds the leases, and exchanges changes with the other carriers of a service.
*/
import * as announcements from 'wagtailroute-announcements';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {CALL_TIMEOUT_MILLISECONDS, TICK_INTERVAL_MILLISECONDS} from './constants.ts';
import {findPeerAddress, type HostContext} from './context.ts';
import {runMachine} from './events.ts';

/**
Reason for which an announcement was refused.
*/
export type AnnouncerFailure =
	| announcements.AnnouncementFailure
	| core.Failure<'service-unknown' | 'carriers-unreachable'>;

/**
Announcement of an upstream that it serves or drains, or its withdrawal. Sent between hosts as `announcements.tell`.
*/
export type AnnouncementRequest = {
	readonly service: core.ServiceName;
	readonly id: core.UpstreamId;
	/**
	Absent when the upstream leaves.
	*/
	readonly announcement?: announcements.Announcement;
	/**
	Another host forwarded the request, so it is not forwarded again.
	*/
	readonly isForwarded: boolean;
};

/**
Receives announcements and lists the upstreams that they name.
*/
export type Announcer = {
	/**
	Applies a request of an upstream when this host carries the service, otherwise forwards it to a host that does.
	*/
	readonly submit: (request: AnnouncementRequest) => Promise<results.Result<void, AnnouncerFailure>>;
	readonly getUpstreams: (service: core.ServiceName) => readonly announcements.Upstream[];
	readonly registerChangeListener: (listener: (service: core.ServiceName) => void) => utils.Teardown;
	readonly teardown: utils.Teardown;
};

/**
Sent as `announcements.message`.
*/
type Envelope = {
	readonly from: core.HostId;
	readonly message: announcements.Message;
};

/**
Answer of `announcements.tell`.
*/
type AnnouncementResponse = {readonly failure?: AnnouncerFailure};

/**
Starts the announcer. Registers the methods `announcements.message`, called between carriers, and `announcements.tell`,
called by a host that does not carry the service.
*/
export function startAnnouncer(context: HostContext): Announcer {
	const {settings, peer, store} = context;
	const log = context.log('announcements');
	const listeners = new Set<(service: core.ServiceName) => void>();
	let lastRefusal: announcements.AnnouncementFailure | undefined;

	const machine = runMachine<announcements.AnnouncementState, announcements.Event, announcements.Effect>({
		initial: announcements.createAnnouncements(settings.hostId),
		step: announcements.stepAnnouncements,
		circumstances: () => ({now: context.now(), random: context.random}),
		onDefect: context.fail,
		handlers: {
			send({to, message}) {
				const address = findPeerAddress(context, to);
				if (address !== undefined) {
					peer.notify(address, 'announcements.message', {from: settings.hostId, message} satisfies Envelope);
				}
			},
			changed({service}) {
				log.info('The upstreams of a service changed.', {service, upstreams: announcements.getUpstreams(machine.read(), service).length});
				for (const listener of listeners) {
					listener(service);
				}
			},
			accepted() {
				lastRefusal = undefined;
			},
			refused({failure}) {
				lastRefusal = failure;
			},
		},
	});

	const isCarried = (service: core.ServiceName) =>
		store.read(state => state.carriers.get(service)?.includes(settings.hostId) ?? false);

	const applyLocally = ({service, id, announcement}: AnnouncementRequest): results.Result<void, AnnouncerFailure> => {
		lastRefusal = undefined;
		machine.send(announcement === undefined
			? {kind: 'leave', service, id}
			: {
				kind: 'announce', service, id, announcement,
			});
		return lastRefusal === undefined ? results.Ok(undefined) : results.Err(lastRefusal);
	};

	const submit = async (request: AnnouncementRequest): Promise<results.Result<void, AnnouncerFailure>> => {
		if (!store.read(state => state.view.entries.has(request.service))) {
			return results.Err(core.createFailure('service-unknown', `There is no service ${request.service}.`));
		}

		return isCarried(request.service) || request.isForwarded ? applyLocally(request) : forwardToCarriers(context, request);
	};

	const teardown = utils.mergeTeardowns(
		peer.registerMethod('announcements.message', ({from, message}: Envelope) => {
			machine.send({kind: 'receive', from, message});
		}),
		peer.registerMethod('announcements.tell', async (request: AnnouncementRequest): Promise<AnnouncementResponse> => {
			const outcome = await submit({...request, isForwarded: true});
			return outcome.isOk() ? {} : {failure: outcome.error};
		}),
		store.registerUpdateListener((state, previous, dirty) => {
			if (dirty.has('carriers')) {
				for (const [service, carriers] of state.carriers) {
					if (previous.carriers.get(service) !== carriers) {
						machine.send({kind: 'carriers', service, carriers});
					}
				}

				for (const service of previous.carriers.keys()) {
					if (!state.carriers.has(service)) {
						machine.send({kind: 'carriers', service, carriers: []});
					}
				}
			}

			if (dirty.has('members')) {
				for (const member of state.members.values()) {
					const before = previous.members.get(member.id);
					if (before?.state === 'alive' && member.state !== 'alive') {
						machine.send({kind: 'holder-lost', id: member.id});
					}
				}
			}
		}),
		context.repeat(TICK_INTERVAL_MILLISECONDS, () => {
			machine.send({kind: 'tick'});
		}),
		() => {
			machine.stop();
		},
	);

	return {
		submit,
		getUpstreams: service => announcements.getUpstreams(machine.read(), service),
		registerChangeListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		teardown,
	};
}

/**
Forwards a request to the carriers of the service, one after the other until one answers.
*/
async function forwardToCarriers(context: HostContext, request: AnnouncementRequest): Promise<results.Result<void, AnnouncerFailure>> {
	const carriers = context.store.read(state => state.carriers.get(request.service) ?? []);
	for (const carrier of carriers) {
		const address = findPeerAddress(context, carrier);
		if (address === undefined) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- One carrier is enough, since it notifies the others.
		const answer = await context.peer.call(address, 'announcements.tell', request, CALL_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			const {failure} = answer.value as AnnouncementResponse;
			return failure === undefined ? results.Ok(undefined) : results.Err(failure);
		}
	}

	return results.Err(core.createFailure('carriers-unreachable', `No host that carries ${request.service} can be reached.`));
}
