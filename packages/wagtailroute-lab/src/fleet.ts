/**
The hosts of a fleet in virtual time: the fleet's own routing, dispatch clients and dispatchers over simulated links.
*/
import type * as allotments from 'wagtailroute-allotments';
import * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as fleet from 'wagtailroute-fleet';
import * as generations from 'wagtailroute-generations';
import type * as link from 'wagtailroute-link';
import type * as utils from 'wagtailroute-utils';
import type {Arrival} from './arrivals.ts';
import type {Clock} from './clock.ts';
import {createContext} from './context.ts';
import {createLinkPair, type Endpoint} from './links.ts';
import {createGeneration} from './generation.ts';
import {pickShare} from './draws.ts';
import type {Scenario} from './scenario.ts';
import type {Variant} from './variants.ts';

/**
An entry host as callers and the day see it.
*/
export type EntryHost = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly route: fleet.Router;
	/**
	Resolves when the process ends.
	*/
	readonly ended: Promise<'left'>;
};

/**
A fleet that serves requests and into which faults are injected.
*/
export type Fleet = {
	/**
	Returns the entry host that a caller connects to; undefined while it does not run.
	*/
	readonly find: (arrival: Arrival) => EntryHost | undefined;
	/**
	Returns the entry host to which another one forwards a request; undefined while it does not run.
	*/
	readonly findForwardingTarget: (target: string) => EntryHost | undefined;
	/**
	Has all hosts read the upstreams of a service again.
	*/
	readonly refresh: (service: core.ServiceName) => void;
	/**
	Takes power from control hosts, all or the one that dispatches most; they start again afterwards.
	*/
	readonly powerOff: (which: 'first' | 'all', milliseconds: number) => void;
	readonly freeze: (milliseconds: number) => void;
	/**
	Cuts a share of the entry hosts off from all control hosts; callers still reach them.
	*/
	readonly cutOff: (share: number, milliseconds: number) => void;
	/**
	Ends all processes and starts them again.
	*/
	readonly restart: (milliseconds: number) => void;
};

/**
What a fleet is created from.
*/
export type FleetPlan = {
	readonly clock: Clock;
	readonly random: utils.Random;
	readonly scenario: Scenario;
	readonly variant: Variant;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	readonly onSuspended: (upstream: core.UpstreamId) => void;
	/**
	Returns whether an entry host has lost its path to an upstream.
	*/
	readonly isPathBad: (entry: core.HostId, upstream: core.UpstreamId) => boolean;
};

/**
A message of a dispatcher to the control hosts.
*/
type Message = {
	readonly method: string;
	readonly parameters: unknown;
};

type MessageHandler = (control: Pick<Control, 'dispatcher' | 'allotmentEnforcer'>, parameters: unknown, from: object) => void;

const MESSAGE_HANDLERS: Readonly<Record<string, MessageHandler>> = {
	[fleet.METHODS.believe]({dispatcher}, belief) {
		dispatcher.applyBelief(belief as fleet.Belief);
	},
	[fleet.METHODS.updates]({dispatcher}, updates) {
		dispatcher.applyUpdates(updates as fleet.ServiceUpdates);
	},
	[fleet.METHODS.use]({allotmentEnforcer}, news, from) {
		allotmentEnforcer.applyReport(news as allotments.UsageReport, from);
	},
};

type Control = {
	readonly id: core.HostId;
	readonly endpoint: Endpoint;
	readonly allotmentEnforcer: fleet.AllotmentEnforcer;
	readonly requestingHosts: ReturnType<typeof fleet.createRequestingHosts>;
	readonly dispatcher: fleet.HostDispatcher;
};

type Entry = EntryHost & {
	readonly endpoint: Endpoint;
	readonly requestingHosts: ReturnType<typeof fleet.createRequestingHosts>;
	readonly ownDispatcher: fleet.HostDispatcher;
	readonly dispatchClient: fleet.DispatchClient;
	readonly controls: fleet.LinkedHost[];
	readonly standbys: fleet.LinkedHost[];
	readonly end: () => void;
};

const ADDRESS: core.Address = {ip: '127.0.0.1', port: 1};

/**
Milliseconds that a new process takes to serve after the others can be reached, and that a new link takes.
*/
const START_MILLISECONDS = 500;
const DIAL_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds that a health check takes, and after which it counts as unanswered.
*/
const PROBE_MILLISECONDS = 25;
const PROBE_TIMEOUT_MILLISECONDS = 400;
const FORWARDING_PORT = 1;

/**
Milliseconds of silence after which a link is closed.
*/
const LINK_SILENCE_MILLISECONDS = 6500;

/**
Settings of allotments, as on the users' platform.
*/
const ALLOTMENTS = {slack: 20, windowMilliseconds: 5000} as const;

/**
Creates a fleet with all hosts running.
*/
export function createFleet(plan: FleetPlan): Fleet {
	return new VirtualFleet(plan);
}

class VirtualFleet implements Fleet {
	readonly #plan: FleetPlan;
	readonly #generation: generations.Generation;
	readonly #findOrganisation: generations.OrganisationFinder;
	#controls: Control[] = [];
	#entries: Entry[] = [];

	constructor(plan: FleetPlan) {
		this.#plan = plan;
		this.#generation = createGeneration(plan.scenario);
		this.#findOrganisation = generations.createOrganisationFinder(this.#generation);
		this.#start();
	}

	find({failureDomain, entry}: Arrival): EntryHost | undefined {
		const near = this.#entries.filter(host => host.failureDomain === failureDomain && host.endpoint.state === 'up');
		return near[Math.floor(entry * Math.min(this.#plan.scenario.directoryAddresses, near.length))];
	}

	findForwardingTarget(target: string): EntryHost | undefined {
		return this.#entries.find(({id, endpoint}) => endpoint.state === 'up' && core.formatAddress(createForwardingAddress(id)) === target);
	}

	refresh(service: core.ServiceName): void {
		for (const {dispatcher} of this.#controls) {
			dispatcher.refreshCandidates(service);
		}

		for (const {ownDispatcher} of this.#entries) {
			ownDispatcher.refreshCandidates(service);
		}
	}

	powerOff(which: 'first' | 'all', milliseconds: number): void {
		// None runs during a restart of everything.
		const chosen = which === 'all' ? [...this.#controls] : this.#listFirst();
		for (const control of chosen) {
			control.endpoint.state = 'away';
		}

		this.#plan.clock.schedule(milliseconds + START_MILLISECONDS, () => {
			for (const control of chosen) {
				this.#replaceControl(control);
			}
		});
	}

	freeze(milliseconds: number): void {
		const {clock} = this.#plan;
		for (const {endpoint} of this.#listFirst()) {
			endpoint.state = 'frozen';
			endpoint.frozenUntil = clock.now() + milliseconds;
			clock.schedule(milliseconds, () => {
				endpoint.state = 'up';
			});
		}
	}

	cutOff(share: number, milliseconds: number): void {
		const {clock, random} = this.#plan;
		const chosen = pickShare(random, this.#entries, share);
		for (const {endpoint} of chosen) {
			endpoint.cut = {from: endpoint.cut?.from ?? clock.now(), until: clock.now() + milliseconds};
		}

		clock.schedule(Math.min(milliseconds, LINK_SILENCE_MILLISECONDS), () => {
			for (const entry of milliseconds > LINK_SILENCE_MILLISECONDS ? chosen : []) {
				this.#closeLinks(entry);
			}
		});
		clock.schedule(milliseconds, () => {
			for (const entry of chosen) {
				this.#endCut(entry);
			}
		});
	}

	restart(milliseconds: number): void {
		const kept = this.#plan.variant.isForgetful ? [] : this.#controls[0]!.dispatcher.listBeliefs();
		for (const entry of this.#entries) {
			entry.end();
		}

		this.#entries = [];
		this.#controls = [];
		this.#plan.clock.schedule(milliseconds + START_MILLISECONDS, () => {
			this.#start();
			for (const {dispatcher} of this.#controls) {
				dispatcher.mergeBeliefs(kept);
			}
		});
	}

	#start(): void {
		const {scenario} = this.#plan;
		this.#controls = Array.from({length: scenario.controlHosts}, (_, index) => this.#createControl(index));
		this.#entries = scenario.failureDomains.flatMap(failureDomain =>
			Array.from({length: Math.min(scenario.entryHostsPerDomain, scenario.directoryAddresses)}, (_, index) => this.#createEntry(failureDomain, index)));
		for (const entry of this.#entries) {
			for (const control of this.#controls) {
				this.#connect(entry, control);
			}
		}
	}

	#closeLinks(entry: Entry): void {
		for (const old of entry.controls.splice(0)) {
			old.link.close();
			entry.dispatchClient.handleDispatcherLost(old);
		}
	}

	#endCut(entry: Entry): void {
		entry.endpoint.cut = undefined;
		for (const control of this.#controls) {
			if (entry.controls.every(({host}) => host.id !== control.id)) {
				this.#reconnect(entry, control);
			}
		}
	}

	/**
	Returns the control host that dispatches the service with the most requests; none during a restart of everything.
	*/
	#listFirst(): readonly Control[] {
		const [busiest] = this.#plan.scenario.routes.toSorted((left, right) => right.perSecond - left.perSecond);
		return fleet.orderDispatchers(busiest!.services[0]!, this.#controls, ({id}) => id).slice(0, 1);
	}

	#replaceControl(lost: Control): void {
		const index = this.#controls.indexOf(lost);
		if (index === -1) {
			return;
		}

		const control = this.#createControl(index);
		this.#controls[index] = control;
		const neighbour = this.#controls.find(({endpoint, id}) => endpoint.state === 'up' && id !== control.id);
		control.dispatcher.mergeBeliefs(neighbour?.dispatcher.listBeliefs() ?? []);
		for (const entry of this.#entries) {
			const place = entry.controls.findIndex(({host}) => host.id === control.id);
			const [old] = entry.controls.splice(place, place === -1 ? 0 : 1);
			if (old !== undefined) {
				old.link.close();
				entry.dispatchClient.handleDispatcherLost(old);
			}

			this.#reconnect(entry, control);
		}
	}

	#reconnect(entry: Entry, control: Control): void {
		const {clock, random, scenario} = this.#plan;
		const connect = () => {
			if (!this.#controls.includes(control) || entry.endpoint.cut !== undefined) {
				return;
			}

			this.#connect(entry, control);
			control.dispatcher.mergeBeliefs(entry.requestingHosts.count() > 0 ? entry.ownDispatcher.listBeliefs() : []);
		};

		if (scenario.reconnectSeconds === 0) {
			connect();
		} else {
			clock.schedule(random() * scenario.reconnectSeconds * MILLISECONDS_PER_SECOND, connect);
		}
	}

	#getDelay(left: core.FailureDomain, right: core.FailureDomain): number {
		const {nearMilliseconds, farMilliseconds} = this.#plan.scenario;
		return left === right ? nearMilliseconds : farMilliseconds;
	}

	#connect(entry: Entry, control: Control): void {
		const delayMilliseconds = this.#getDelay(entry.failureDomain, control.endpoint.failureDomain);
		const [near, far] = createLinkPair(this.#plan.clock, [entry.endpoint, control.endpoint], delayMilliseconds);
		control.requestingHosts.add({id: entry.id, failureDomain: entry.failureDomain}, far);
		entry.controls.push({host: {id: control.id, address: ADDRESS, failureDomain: control.endpoint.failureDomain}, link: near});
	}

	#createControl(index: number): Control {
		const {scenario} = this.#plan;
		const failureDomain = scenario.failureDomains[index % scenario.failureDomains.length]!;
		const methods = new Map<string, link.LinkMethod>();
		const endpoint: Endpoint = {
			role: 'control', failureDomain, methods, state: 'up', frozenUntil: 0, messageMilliseconds: scenario.messageMilliseconds.control,
		};
		const id = `control-${index}`;
		const requestingHosts = fleet.createRequestingHosts();
		const requestShare = fleet.createRequestShare(() => this.#entries.length, 1);
		const absences = fleet.startAbsenceTracker(createContext(this.#plan.clock, this.#plan.random, () => undefined), {
			listHosts: () => this.#listEntryHostStatus(requestingHosts),
			getHostShare: requestShare.getHostShare,
			windowMilliseconds: ALLOTMENTS.windowMilliseconds,
		});
		const allotmentEnforcer = this.#startAllotmentEnforcer({
			requestShare,
			absences,
			isReceivingReports: true,
			notifyDispatchers: message => {
				this.#notifyControlHosts(id, message);
			},
		});
		const dispatcher = this.#startHostDispatcher({
			requestingHosts,
			allotmentEnforcer,
			requestShare,
			isReceivingReports: true,
			listStandbys: service => fleet.orderDispatchers(service, this.#listStandbys(), host => host).slice(0, fleet.STANDBYS_PER_SERVICE),
			notifyControlHosts: message => {
				this.#notifyControlHosts(id, message);
			},
			getState: () => endpoint.state,
		});
		register(methods, {
			...fleet.createSlotRequestMethods(dispatcher, requestingHosts.findByLink),
			[fleet.METHODS.probe]: () => ({}),
			...Object.fromEntries(Object.entries(MESSAGE_HANDLERS).map(([method, handle]): [string, link.LinkMethod] => [method, (parameters: never, hostLink) => {
				handle({dispatcher, allotmentEnforcer}, parameters, hostLink);
			}])),
		});
		return {
			id, endpoint, requestingHosts, dispatcher, allotmentEnforcer,
		};
	}

	#listEntryHostStatus(requestingHosts: ReturnType<typeof fleet.createRequestingHosts>): ReadonlyArray<Parameters<fleet.AbsenceTracker['recordLinkClosed']>[0]> {
		return this.#entries.flatMap(({id}) => {
			const hostLink = requestingHosts.find(id);
			return hostLink === undefined ? [] : [{id, isReady: true, silenceMilliseconds: hostLink.getSilenceMilliseconds()}];
		});
	}

	#startAllotmentEnforcer({requestShare, absences, isReceivingReports, notifyDispatchers}: {
		readonly requestShare: fleet.RequestShare;
		readonly absences?: fleet.AbsenceTracker;
		readonly isReceivingReports: boolean;
		readonly notifyDispatchers: (message: Message) => void;
	}): fleet.AllotmentEnforcer {
		const {clock, random, onSuspended} = this.#plan;
		const allotmentEnforcer = fleet.startAllotmentEnforcer(createContext(clock, random, onSuspended), {
			settings: ALLOTMENTS,
			requestShare,
			absences,
			isReceivingReports,
			notifyDispatchers(method, parameters) {
				notifyDispatchers({method, parameters});
			},
		});
		allotmentEnforcer.setOrganisations(this.#generation.organisations);
		return allotmentEnforcer;
	}

	#listStandbys(): readonly core.HostId[] {
		return this.#plan.variant.hasStandbys ? this.#entries.slice(0, fleet.MAX_STANDBYS).map(({id}) => id) : [];
	}

	#notifyControlHosts(from: core.HostId, {method, parameters}: Message): void {
		const {clock, scenario} = this.#plan;
		const sender = this.#controls.find(({id}) => id === from);
		if (sender === undefined || sender.endpoint.state === 'away') {
			return;
		}

		clock.schedule(this.#getFrozenMilliseconds(sender) + scenario.farMilliseconds, () => {
			for (const control of this.#controls) {
				if (control !== sender) {
					this.#deliver(control, () => {
						MESSAGE_HANDLERS[method]?.(control, parameters, sender);
					});
				}
			}
		});
	}

	/**
	Handles a message at a control host, after it has thawed if it is frozen.
	*/
	#deliver(control: Control, handle: () => void): void {
		const frozenMilliseconds = this.#getFrozenMilliseconds(control);
		if (frozenMilliseconds > 0) {
			this.#plan.clock.schedule(frozenMilliseconds, () => {
				this.#deliver(control, handle);
			});
		} else if (control.endpoint.state === 'up') {
			handle();
		}
	}

	#getFrozenMilliseconds({endpoint}: Control): number {
		return endpoint.state === 'frozen' ? Math.max(0, endpoint.frozenUntil - this.#plan.clock.now()) : 0;
	}

	#startHostDispatcher({requestingHosts, allotmentEnforcer, requestShare, isReceivingReports, listStandbys, notifyControlHosts, getState, onAnswer}: {
		readonly requestingHosts: ReturnType<typeof fleet.createRequestingHosts>;
		readonly allotmentEnforcer: fleet.AllotmentEnforcer;
		readonly requestShare: fleet.RequestShare;
		readonly isReceivingReports: boolean;
		readonly listStandbys: (service: core.ServiceName) => readonly core.HostId[];
		readonly notifyControlHosts: (message: Message) => void;
		readonly getState: () => Endpoint['state'];
		/**
		Handles answers for this host itself.
		*/
		readonly onAnswer?: (parameters: [number, fleet.EncodedAnswer]) => void;
	}): fleet.HostDispatcher {
		const {clock, random, scenario, variant, listCandidates, onSuspended} = this.#plan;
		return fleet.startHostDispatcher(createContext(clock, random, onSuspended), {
			settings: {budget: scenario.budget, floor: scenario.floor, policy: variant.policy},
			allotmentEnforcer,
			requestShare,
			isReceivingUpdates: isReceivingReports,
			listCandidates,
			listStandbys: ({service}) => listStandbys(service),
			notify(host, method, parameters) {
				const hostLink = requestingHosts.find(host);
				if (hostLink === undefined && method === fleet.METHODS.answer) {
					onAnswer?.(parameters as [number, fleet.EncodedAnswer]);
				} else if (getState() === 'up') {
					hostLink?.notify(method, parameters);
				}
			},
			notifyControlHosts(method, parameters) {
				notifyControlHosts({method, parameters});
			},
		});
	}

	#createEntry(failureDomain: core.FailureDomain, index: number): Entry {
		const {clock, random, scenario, listCandidates} = this.#plan;
		const id = `entry-${failureDomain}-${index}`;
		const methods = new Map<string, link.LinkMethod>();
		const endpoint: Endpoint = {
			role: 'entry', failureDomain, methods, state: 'up', frozenUntil: 0, messageMilliseconds: scenario.messageMilliseconds.entry,
		};
		const requestingHosts = fleet.createRequestingHosts();
		const controls: fleet.LinkedHost[] = [];
		const standbys: fleet.LinkedHost[] = [];
		const notifyControls = (message: Message) => {
			notifyAll(controls, message);
		};

		const requestShare = fleet.createRequestShare(() => this.#entries.length, 1);
		const allotmentEnforcer = this.#startAllotmentEnforcer({
			requestShare,
			isReceivingReports: false,
			notifyDispatchers(message) {
				notifyAll(controls, message);
				notifyAll(standbys, message);
			},
		});
		const ownDispatcher = this.#startHostDispatcher({
			requestingHosts,
			allotmentEnforcer,
			requestShare,
			isReceivingReports: false,
			listStandbys: () => [],
			notifyControlHosts(message) {
				if (requestingHosts.count() > 0) {
					notifyControls(message);
				}
			},
			getState: () => endpoint.state,
			onAnswer([ask, answer]) {
				dispatchClient.handleAnswer(ask, answer);
			},
		});
		const context = createContext(clock, random, () => undefined);
		const dispatchClient = fleet.createDispatchClient(context, {
			settings: {hostId: id, failureDomain, allotments: ALLOTMENTS},
			countEntryHosts: () => this.#entries.length,
			getControlHosts: () => controls.filter(({link: hostLink}) => hostLink.isOpen()),
			standbys: {
				getOpen: () => standbys,
				open: () => {
					this.#openStandbys(entry);
				},
				waitForOne: async () => new Promise<void>(resolve => {
					clock.schedule(DIAL_MILLISECONDS, resolve);
				}),
				isOwnHostStandby: () => this.#listStandbys().includes(id),
			},
			ownDispatcher,
			isRetired: () => false,
			getLinkDelay: () => 0,
		});
		register(methods, {
			[fleet.METHODS.answer]([ask, answer]: [number, fleet.EncodedAnswer]) {
				dispatchClient.handleAnswer(ask, answer);
			},
			[fleet.METHODS.believe]: ownDispatcher.applyBelief,
			[fleet.METHODS.updates]: ownDispatcher.applyUpdates,
			[fleet.METHODS.use]: allotmentEnforcer.applyReport,
			[fleet.METHODS.beliefNews]: ownDispatcher.applyBeliefs,
			...fleet.createSlotRequestMethods(ownDispatcher, requestingHosts.findByLink),
		});
		const {promise, resolve} = Promise.withResolvers<'left'>();
		const entry: Entry = {
			id,
			failureDomain,
			endpoint,
			requestingHosts,
			ownDispatcher,
			dispatchClient,
			controls,
			standbys,
			ended: promise,
			end() {
				endpoint.state = 'away';
				resolve('left');
			},
			route: fleet.createRouter(context, {
				fleetView: {
					getGeneration: () => this.#generation,
					findRoute: (_host, path) => this.#generation.routes.find(({name}) => `/${name}` === path),
					findOrganisation: key => this.#findOrganisation(key),
					findService: name => this.#generation.services.find(service => service.name === name),
					listCandidates,
				},
				dispatchClient,
				reach: this.#createReach(context, id),
				forwardingTargets: fleet.createForwardingTargets(context, () => this.#entries.filter(other => other.id !== id).map(other => createForwardingAddress(other.id))),
			}),
		};
		return entry;
	}

	#createReach(context: fleet.FleetContext, id: core.HostId): ReturnType<typeof fleet.createUpstreamReach> {
		const {clock, scenario, listCandidates, isPathBad} = this.#plan;
		return fleet.createUpstreamReach(context, {
			listInstances: () => scenario.services.flatMap(({name}) => listCandidates(name).map(candidate => ({
				...candidate, service: name, sequence: 1, state: 'serving' as const, heardAt: 0,
			}))),
			async probe({upstream}) {
				const isBad = isPathBad(id, upstream);
				await new Promise<void>(resolve => {
					clock.schedule(isBad ? PROBE_TIMEOUT_MILLISECONDS : PROBE_MILLISECONDS, resolve);
				});
				return isBad ? 'silent' : 'answered';
			},
			onChanged: () => undefined,
		});
	}

	#openStandbys(entry: Entry): void {
		if (entry.standbys.length > 0) {
			return;
		}

		this.#plan.clock.schedule(DIAL_MILLISECONDS, () => {
			const wanted = new Set(this.#listStandbys());
			const missing = this.#entries.filter(({id}) =>
				id !== entry.id && wanted.has(id) && entry.standbys.every(({host}) => host.id !== id));
			for (const other of missing) {
				const delayMilliseconds = this.#getDelay(entry.failureDomain, other.failureDomain);
				const [near, far] = createLinkPair(this.#plan.clock, [entry.endpoint, other.endpoint], delayMilliseconds);
				other.requestingHosts.add({id: entry.id, failureDomain: entry.failureDomain}, far);
				entry.standbys.push({host: {id: other.id, address: ADDRESS, failureDomain: other.failureDomain}, link: near});
			}
		});
	}
}

function createForwardingAddress(id: core.HostId): core.Address {
	return {ip: id, port: FORWARDING_PORT};
}

function notifyAll(hosts: readonly fleet.LinkedHost[], {method, parameters}: Message): void {
	for (const {link: hostLink} of hosts) {
		hostLink.notify(method, parameters);
	}
}

function register(methods: Map<string, link.LinkMethod>, table: Readonly<Record<string, link.LinkMethod>>): void {
	for (const [name, method] of Object.entries(table)) {
		methods.set(name, method);
	}
}
