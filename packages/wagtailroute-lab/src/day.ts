/**
One day: the requests and troubles of a scenario and a seed, served by a variant.
*/
import process from 'node:process';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as fleet from 'wagtailroute-fleet';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {type Arrival, drawArrivals} from './arrivals.ts';
import {
	type Backend,
	createBackend,
	drawDraining,
	drawRateLimits,
	drawSpells,
	type Spell,
} from './backend.ts';
import {type Clock, createClock} from './clock.ts';
import {createFleet, type EntryHost, type Fleet} from './fleet.ts';
import {createOracle} from './oracle.ts';
import type {Scenario, ScenarioFault, ScenarioService} from './scenario.ts';
import {type SendingEnd, type SendingPlan, serve} from './sending.ts';
import {pickShare} from './draws.ts';
import {createTally, type Figures, type Tally} from './tally.ts';
import type {Variant} from './variants.ts';

const MILLISECONDS = 1000;

/**
Milliseconds after the last request until the day ends: the longest deadlines are over.
*/
const TAIL_MILLISECONDS = 8000;

/**
Milliseconds before the first request, in which hosts come to know each other and that nothing of a window was used yet.
*/
const LEAD_MILLISECONDS = 6000;
const NO_CONNECTION_MILLISECONDS = 400;
const AFTER_SPELL_MILLISECONDS = 3000;
const DRAIN_MILLISECONDS = 4000;
const COLD_MILLISECONDS = 3000;

/**
Numbers that keep the sources of random numbers of one day apart.
*/
const SOURCES = {
	spells: 7919, decisions: 104_729, faults: 1_299_709, rateLimits: 15_485_863,
} as const;

/**
Plays a day.
*/
export async function playDay(scenario: Scenario, variant: Variant, seed: number): Promise<Figures> {
	return new Day(scenario, variant, seed).play();
}

class Day {
	readonly #scenario: Scenario;
	readonly #seed: number;
	readonly #clock: Clock = createClock();
	readonly #decisions: utils.Random;
	readonly #chance: utils.Random;
	readonly #limitLuck: utils.Random;
	readonly #backends = new Map<core.UpstreamId, Backend>();
	readonly #warmAt = new Map<core.UpstreamId, number>();
	readonly #tally: Tally;
	readonly #fleet: Fleet;
	readonly #variant: Variant;
	readonly #badPaths: Array<{readonly until: number; readonly entries: ReadonlySet<string>; readonly backends: ReadonlySet<string>}> = [];

	constructor(scenario: Scenario, variant: Variant, seed: number) {
		this.#scenario = scenario;
		this.#variant = variant;
		this.#seed = seed;
		this.#decisions = utils.createRandom(seed + SOURCES.decisions);
		this.#chance = utils.createRandom(seed + SOURCES.faults);
		this.#limitLuck = utils.createRandom(seed + SOURCES.rateLimits);
		this.#tally = createTally(scenario);
		const random = utils.createRandom(seed + SOURCES.spells);
		for (const service of scenario.services) {
			this.#addBackends(service, random);
		}

		this.#fleet = createFleet({
			clock: this.#clock,
			random: this.#decisions,
			scenario,
			variant,
			listCandidates: service => this.#listCandidates(service),
			onSuspended: upstream => {
				this.#noteSuspended(upstream);
			},
			isPathBad: (entry, upstream) => this.#isPathBad(entry, upstream),
		});
	}

	async play(): Promise<Figures> {
		const startedAt = process.cpuUsage();
		const {seconds, faults} = this.#scenario;
		for (const fault of faults) {
			this.#clock.schedule(LEAD_MILLISECONDS + (fault.atSeconds * MILLISECONDS), () => {
				FAULTS[fault.kind](this.#field, fault);
			});
		}

		for (const drawn of drawArrivals(this.#scenario, this.#seed)) {
			const arrival = {...drawn, at: drawn.at + LEAD_MILLISECONDS};
			this.#clock.schedule(arrival.at, () => {
				void this.#call(arrival, this.#clock.now(), arrival.retries);
			});
		}

		await this.#clock.runUntil(LEAD_MILLISECONDS + (seconds * MILLISECONDS) + TAIL_MILLISECONDS);
		const {user, system} = process.cpuUsage(startedAt);
		return this.#tally.finish({
			spells: this.#backends.values().flatMap(({spells}) => spells).toArray(),
			rateLimits: this.#backends.values().flatMap(({rateLimits}) => rateLimits).toArray(),
			closures: this.#backends.values().flatMap(({closures}) => closures).toArray(),
			serving: this.#backends.values().filter(({state}) => state === 'serving').toArray(),
			cpuMicroseconds: user + system,
		});
	}

	readonly #field = {
		powerOff: (which: 'first' | 'all', milliseconds: number) => {
			this.#fleet.powerOff(which, milliseconds);
		},
		freeze: (milliseconds: number) => {
			this.#fleet.freeze(milliseconds);
		},
		cutOff: (share: number, milliseconds: number) => {
			this.#fleet.cutOff(share, milliseconds);
		},
		restart: (milliseconds: number) => {
			this.#fleet.restart(milliseconds);
		},
		spoilPaths: (share: number, milliseconds: number, upstreamShare = share) => {
			const {failureDomains} = this.#scenario;
			const entries = failureDomains.flatMap(domain => [0, 1, 2].map(index => `entry-${domain}-${index}`));
			this.#badPaths.push({
				until: this.#clock.now() + milliseconds,
				entries: new Set(pickShare(this.#chance, entries, share)),
				backends: new Set(pickShare(this.#chance, this.#backends.keys().toArray(), upstreamShare)),
			});
		},
		drain: (share: number, isReplaced: boolean) => {
			for (const service of this.#scenario.services) {
				this.#drain(service, share, isReplaced);
			}
		},
	};

	#addBackends(service: ScenarioService, random: utils.Random): void {
		const {failureDomains} = this.#scenario;
		for (const [index, count] of service.upstreams.entries()) {
			for (let number = 0; number < count; number++) {
				this.#addBackend(service, failureDomains[index]!, {name: `${service.name}-${failureDomains[index]}-${number}`, warmAt: 0, random});
			}
		}
	}

	#addBackend(
		service: ScenarioService,
		failureDomain: string,
		{name, warmAt, random}: {readonly name: string; readonly warmAt: number; readonly random: utils.Random},
	): void {
		const {failureDomains, seconds, spells, rateLimits, draining} = this.#scenario;
		const drawn: readonly Spell[] = drawSpells(spells, {
			service: service.name, seconds, failureDomains, random,
		});
		this.#warmAt.set(name, warmAt);
		this.#backends.set(name, createBackend({
			clock: this.#clock,
			id: name,
			service,
			failureDomain,
			spells: drawn,
			rateLimits: drawRateLimits(rateLimits, service.name, this.#limitLuck),
			drainingAt: drawDraining(draining, service.name, this.#limitLuck),
			warmAt,
		}));
	}

	#listCandidates(service: core.ServiceName): readonly dispatch.Candidate[] {
		return this.#backends.values()
			.filter(backend => backend.service === service && backend.state !== 'gone')
			.map((backend): dispatch.Candidate => ({
				upstream: backend.id,
				address: {ip: '127.0.0.1', port: 1},
				failureDomain: backend.failureDomain,
				slots: backend.slots,
				isDraining: backend.state === 'draining',
				isSilent: false,
				warmAt: this.#warmAt.get(backend.id) ?? 0,
			})).toArray();
	}

	#noteSuspended(upstream: core.UpstreamId): void {
		const backend = this.#backends.get(upstream);
		// A spell that has just ended is no false alarm: its requests end later than it does.
		const now = this.#clock.now();
		const isSick = backend?.spells.some(({from, until}) => now >= from && now < until + AFTER_SPELL_MILLISECONDS) === true;
		if (!isSick && backend?.state === 'serving') {
			this.#tally.noteFalseSuspension();
		}
	}

	#drain(service: ScenarioService, share: number, isReplaced: boolean): void {
		const serving = this.#backends.values().filter(backend => backend.service === service.name && backend.state === 'serving').toArray();
		for (const backend of pickShare(this.#chance, serving, share)) {
			backend.state = 'draining';
			if (isReplaced) {
				const warmAt = this.#clock.now() + COLD_MILLISECONDS;
				this.#addBackend(service, backend.failureDomain, {name: `${backend.id}-next`, warmAt, random: this.#chance});
			}

			this.#clock.schedule(DRAIN_MILLISECONDS, () => {
				backend.state = 'gone';
				this.#fleet.refresh(service.name);
			});
		}

		this.#fleet.refresh(service.name);
	}

	/**
	A caller asks, and comes back when it is refused or finds nobody.
	*/
	async #call(arrival: Arrival, at: number, retries: number): Promise<void> {
		const {route} = arrival;
		const remaining = arrival.at + route.deadlineMilliseconds - this.#clock.now();
		const entry = this.#fleet.find(arrival);
		const comeBack = (milliseconds: number) => {
			this.#clock.schedule(milliseconds, () => {
				void this.#call(arrival, at, retries - 1);
			});
		};

		const mayComeBack = retries > 0 && remaining > 0;
		if (entry === undefined) {
			if (mayComeBack) {
				comeBack(NO_CONNECTION_MILLISECONDS);
			} else {
				this.#tally.note(arrival, arrival.at, {kind: 'unserved', cause: 'no-connection'});
			}

			return;
		}

		const startedAt = this.#clock.now();
		const end = await this.#serve(entry, {arrival, port: this.#getPort(entry.route, arrival, remaining), deadlineAt: this.#clock.now() + Math.min(route.timeoutMilliseconds, remaining)});
		if (arrival.organisation !== undefined) {
			this.#tally.noteOrganisation(arrival.organisation, startedAt, end.kind === 'refused' || (end.kind === 'unserved' && end.cause === 'no-connection'));
		}

		if (mayComeBack && end.kind === 'refused') {
			comeBack(Math.min(end.retryAfterMilliseconds, (arrival.at + route.deadlineMilliseconds - this.#clock.now()) / 3));
		} else {
			this.#tally.note(arrival, arrival.at, end.kind === 'refused' ? {kind: 'unserved', cause: 'refused'} : end);
		}
	}

	async #serve(entry: EntryHost, {arrival, port, deadlineAt}: Pick<SendingPlan, 'arrival' | 'port' | 'deadlineAt'>): Promise<SendingEnd> {
		return serve({
			clock: this.#clock,
			random: this.#decisions,
			arrival,
			host: entry.id,
			port,
			deadlineAt,
			getWay: backend => backend.failureDomain === entry.failureDomain ? this.#scenario.nearMilliseconds : this.#scenario.farMilliseconds,
			findBackend: id => this.#backends.get(id),
			isPathBad: backend => this.#isPathBad(entry.id, backend.id),
			forward: async target => this.#forward(target, {arrival, deadlineAt}),
			onSent: (upstream, isResend) => {
				this.#tally.noteSent({service: arrival.service, upstream, isResend}, this.#clock.now());
			},
			ended: entry.ended,
		});
	}

	async #forward({id}: proxy.Target, request: Pick<SendingPlan, 'arrival' | 'deadlineAt'>): Promise<SendingEnd | 'shed' | 'unreachable'> {
		const entry = this.#fleet.findForwardingTarget(id);
		const routed = entry?.route({...createCallerRequest(request.arrival, request.deadlineAt - this.#clock.now()), isForwarded: true});
		if (entry === undefined || routed === undefined) {
			return 'unreachable';
		}

		return 'service' in routed ? this.#serve(entry, {...request, port: routed.service}) : 'shed';
	}

	#isPathBad(entry: string, upstream: string): boolean {
		return this.#badPaths.some(({until, entries, backends}) => this.#clock.now() < until && entries.has(entry) && backends.has(upstream));
	}

	#getPort(route: fleet.Router, arrival: Arrival, remaining: number): proxy.ServicePort {
		if (this.#variant.isAllKnowing) {
			return createOracle(this.#backends, arrival);
		}

		const routed = route(createCallerRequest(arrival, remaining));
		utils.invariant('service' in routed, 'a scenario has a route for each of its requests');
		return routed.service;
	}
}

function createCallerRequest({route, service, organisation}: Arrival, timeoutMilliseconds: number): proxy.CallerRequest {
	const path = `/${route.name}/${service}`;
	return {
		host: 'lab', path, requestTarget: path, method: 'GET', timeoutMilliseconds, key: organisation, organisation: '', hasBody: false, isForwarded: false,
	};
}

type Field = {
	readonly powerOff: (which: 'first' | 'all', milliseconds: number) => void;
	readonly freeze: (milliseconds: number) => void;
	readonly cutOff: (share: number, milliseconds: number) => void;
	readonly restart: (milliseconds: number) => void;
	/**
	@param share Part of the entry hosts that lose paths, and of the upstreams that they lose them to if no other part is given.
	*/
	readonly spoilPaths: (share: number, milliseconds: number, upstreamShare?: number) => void;
	readonly drain: (share: number, isReplaced: boolean) => void;
};

const FAULTS: Readonly<Record<ScenarioFault['kind'], (field: Field, fault: ScenarioFault) => void>> = {
	// Drawn with the arrivals.
	burst: () => undefined,
	'control-away'(field, {forSeconds}) {
		field.powerOff('first', forSeconds * MILLISECONDS);
	},
	'controls-away'(field, {forSeconds}) {
		field.powerOff('all', forSeconds * MILLISECONDS);
	},
	'control-frozen'(field, {forSeconds}) {
		field.freeze(forSeconds * MILLISECONDS);
	},
	'entries-cut'(field, {share, forSeconds}) {
		field.cutOff(share, forSeconds * MILLISECONDS);
	},
	restart(field, {forSeconds}) {
		field.restart(forSeconds * MILLISECONDS);
	},
	paths(field, {share, forSeconds}) {
		field.spoilPaths(share, forSeconds * MILLISECONDS);
	},
	unreached(field, {share, forSeconds}) {
		field.spoilPaths(share, forSeconds * MILLISECONDS, 1);
	},
	'scale-in'(field, {share}) {
		field.drain(share, false);
	},
	release(field, {share}) {
		field.drain(share, true);
	},
};

