/**
A small fleet in one process for tests of divided services: control hosts with dispatchers, entry hosts with dispatch clients, and links without delay.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import type * as link from 'wagtailroute-link';
import {type AllotmentEnforcer, startAllotmentEnforcer} from '../../allotment-enforcer.ts';
import type {LinkedHost} from '../../control-links.ts';
import {createDispatchClient, type DispatchClient} from '../../dispatch-client.ts';
import {type HostDispatcher, startHostDispatcher} from '../../host-dispatcher.ts';
import {METHODS} from '../../messages.ts';
import {createPoolChoice} from '../../pools/pool-choice.ts';
import {createRequestShare, type RequestShare} from '../../request-share.ts';
import type {EncodedAnswer} from '../../slot-request-encoding.ts';
import {createSlotRequestMethods, type RequestingHost} from '../../slot-request-methods.ts';
import * as fixture from './fixture.ts';

export const DOMAINS = ['x', 'y', 'z'];
export const SERVICE = 'archive';

/**
Creates upstreams named after their failure domain: `x0`, `x1`, …
*/
export const createCandidates = (upstreamsByDomain: Readonly<Record<string, number>>, slots = 2): readonly dispatch.Candidate[] =>
	Object.entries(upstreamsByDomain).flatMap(([failureDomain, count]) => Array.from({length: count}, (_, index) => ({
		upstream: `${failureDomain}${index}`,
		address: {ip: '10.0.0.1', port: 80 + index},
		failureDomain,
		slots,
		isDraining: false,
		isSilent: false,
		warmAt: 0,
	})));

type Control = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly dispatcher: HostDispatcher;
	readonly requestShare: RequestShare;
	readonly enforcer: AllotmentEnforcer;
	isUp: boolean;
};

type Entry = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly client: DispatchClient;
	readonly links: readonly LinkedHost[];
};

export type PoolFleetOptions = {
	readonly candidates: readonly dispatch.Candidate[];
	readonly entryDomains?: readonly core.FailureDomain[];
	readonly entriesPerDomain?: number;
	readonly isDividing?: (host: core.HostId) => boolean;
	readonly organisations?: readonly generations.GenerationOrganisation[];
};

export type PoolFleet = {
	readonly context: fixture.FakeContext;
	readonly controls: readonly Control[];
	readonly entries: readonly Entry[];
	/**
	Slot requests that control hosts received: the control host, the pool, and whether another dispatcher had the request before.
	*/
	readonly received: string[];
	/**
	Methods of the messages among control hosts.
	*/
	readonly exchanged: string[];
	readonly lose: (control: core.HostId) => void;
};

/**
Creates a fleet with one control host, and some entry hosts, in each failure domain.
*/
export function createPoolFleet({candidates, entryDomains = DOMAINS, entriesPerDomain = 1, isDividing = () => true, organisations}: PoolFleetOptions): PoolFleet {
	const context = fixture.createFakeContext();
	const received: string[] = [];
	const exchanged: string[] = [];
	const requestingHosts = new Map<link.Link, RequestingHost>();
	const entryIds = entryDomains.flatMap(domain => Array.from({length: entriesPerDomain}, (_, index) => ({id: `front-${domain}${index}`, failureDomain: domain})));
	const controls: Control[] = [];
	const entries: Entry[] = [];

	const receiveByControl = (control: Control, sender: Control, method: string, parameters: unknown) => {
		const handlers: Readonly<Record<string, () => void>> = {
			[METHODS.believe]() {
				control.dispatcher.applyBelief(parameters as never);
			},
			[METHODS.room]() {
				control.dispatcher.applyRooms(parameters as never);
			},
			[METHODS.updates]() {
				control.dispatcher.applyUpdates(parameters as never);
			},
			[METHODS.use]() {
				control.enforcer.applyReport(parameters as never, sender);
			},
		};
		if (control.isUp && sender.isUp) {
			handlers[method]?.();
		}
	};

	for (const failureDomain of DOMAINS) {
		const id = `control-${failureDomain}`;
		const notifyOthers = (method: string, parameters: unknown) => {
			exchanged.push(method);
			const sender = controls.find(control => control.id === id)!;
			const others = controls.filter(other => other !== sender);
			for (const control of others) {
				receiveByControl(control, sender, method, parameters);
			}
		};

		const requestShare = createRequestShare(() => entryIds.length, 1, () => true);
		const enforcer = startAllotmentEnforcer(context, {
			settings: fixture.ALLOTMENTS, requestShare, isReceivingReports: true, notifyDispatchers: notifyOthers,
		});
		enforcer.setOrganisations(organisations);
		const dispatcher = startHostDispatcher(context, {
			settings: {budget: {ratio: 0.2, extra: 20, windowMilliseconds: 10_000}, floor: 0},
			allotmentEnforcer: enforcer,
			requestShare,
			overloadControl: {isOn: () => true},
			isReceivingUpdates: true,
			listCandidates: () => candidates,
			lending: {failureDomain, isFirstDispatcher: ({pool}) => pool === failureDomain},
			listEntryDomains: () => entryDomains,
			listStandbys: () => [],
			notify(host, method, parameters) {
				if (method === METHODS.answer) {
					entries.find(entry => entry.id === host)?.client.handleAnswer(...parameters as [number, EncodedAnswer]);
				}
			},
			notifyControlHosts: notifyOthers,
		});
		controls.push({
			id,
			failureDomain,
			dispatcher: {
				...dispatcher,
				requestSlot(request) {
					received.push(`${id} ${request.pool ?? 'undivided'}${request.isAgain === true ? ' again' : ''}`);
					return dispatcher.requestSlot(request);
				},
			},
			requestShare,
			enforcer,
			isUp: true,
		});
	}

	const methodsByControl = new Map(controls.map(control => [control, createSlotRequestMethods(control.dispatcher, from => requestingHosts.get(from))]));

	const createLink = (entry: RequestingHost, control: Control): LinkedHost => {
		const methods = methodsByControl.get(control)!;
		const opened: fixture.FakeLink = {
			...fixture.createFakeLink((method, parameters) => method === METHODS.probe ? {} : methods[method]?.(parameters, opened)),
			notify(method, parameters) {
				void methods[method]?.(parameters as never, opened);
			},
			isOpen: () => control.isUp,
		};
		requestingHosts.set(opened, entry);
		return {host: {id: control.id, address: {ip: '10.0.0.2', port: 1}, failureDomain: control.failureDomain}, link: opened};
	};

	for (const {id, failureDomain} of entryIds) {
		const links = controls.map(control => createLink({id, failureDomain}, control));
		const client = createDispatchClient(context, {
			settings: {hostId: id, failureDomain, allotments: fixture.ALLOTMENTS},
			countEntryHosts: () => entryIds.length,
			getControlHosts: () => links.filter(({link: opened}) => opened.isOpen()),
			pools: createPoolChoice(context, {
				failureDomain, overloadControl: {isOn: () => isDividing(id)}, listCandidates: () => candidates, minUpstreams: 1,
			}),
			standbys: {
				getOpen: () => [], open: () => undefined, waitForOne: async () => undefined, isOwnHostStandby: () => false,
			},
			ownDispatcher: startHostDispatcher(context, {
				...fixture.ONLY_DISPATCHER,
				settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0},
				listCandidates: () => candidates,
				listStandbys: () => [],
				notify: () => undefined,
				notifyControlHosts: () => undefined,
			}),
			isRetired: () => false,
			getLinkDelay: () => 0,
		});
		entries.push({
			id, failureDomain, client, links,
		});
	}

	return {
		context,
		controls,
		entries,
		received,
		exchanged,
		lose(lostId) {
			controls.find(({id}) => id === lostId)!.isUp = false;
			for (const {client, links} of entries) {
				client.handleDispatcherLost(links.find(({host}) => host.id === lostId)!);
			}
		},
	};
}
