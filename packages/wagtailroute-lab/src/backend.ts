/**
A backend server in virtual time: its slots, its queue, and the bad spells in which it harms requests although it looks well.
*/
import * as utils from 'wagtailroute-utils';
import type * as core from 'wagtailroute-core';
import type {Clock} from './clock.ts';
import {drawExponential, type Luck} from './draws.ts';
import type {
	ScenarioDraining,
	ScenarioRateLimit,
	ScenarioRoute,
	ScenarioService,
	ScenarioSpell,
} from './scenario.ts';

/**
What comes of a request at an upstream. `hang` is no outcome: nothing ever comes.
*/
export type BackendOutcome = 'success' | 'error' | 'reset' | 'shed' | 'refused';

/**
A bad spell of one upstream.
*/
export type Spell = {
	readonly kind: ScenarioSpell['kind'];
	readonly from: number;
	readonly until: number;
	readonly failing: number;
	readonly times: number;
	/**
	Milliseconds for which a host whose request is shed is to send nothing more; 0 when it is not told.
	*/
	readonly backoffMilliseconds: number;
	/**
	Harms only requests from here.
	*/
	readonly failureDomain?: string;
	/**
	Requests that were sent into it, and how many of these may not be sent again.
	*/
	sent: number;
	sentUnrepeatable: number;
	/**
	When the last request was sent into it.
	*/
	lastSentAt: number;
};

/**
A period in which an upstream advertises a rate limit in its answers.
*/
export type RateLimit = {
	readonly from: number;
	readonly until: number;
	readonly perSecond: number;
	/**
	Times of the requests that arrived in it.
	*/
	readonly arrivals: number[];
};

/**
What an upstream told a host: to send nothing for a while, or that it leaves.
*/
export type Closure = {
	readonly kind: 'backoff' | 'draining';
	readonly host: core.HostId;
	/**
	From when on it binds the host, and until when.
	*/
	readonly from: number;
	readonly until: number;
	/**
	Requests of the host that arrived in that time.
	*/
	arrivals: number;
};

/**
A request on its way to an upstream.
*/
export type BackendRequest = {
	readonly route: ScenarioRoute;
	readonly host: core.HostId;
	readonly failureDomain: string;
	readonly luck: Luck;
	/**
	@param advertisements What the answer advertises; empty without an answer.
	*/
	readonly end: (outcome: BackendOutcome, advertisements: readonly core.Advertisement[]) => void;
};

/**
An upstream.
*/
export type Backend = {
	readonly id: core.UpstreamId;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly spells: readonly Spell[];
	readonly rateLimits: readonly RateLimit[];
	readonly closures: readonly Closure[];
	/**
	`draining`: serves, but must get nothing new. `gone`: refuses.
	*/
	state: 'serving' | 'draining' | 'gone';
	/**
	Takes a request; the result gives it up and frees its slot.
	*/
	readonly take: (request: BackendRequest) => utils.Teardown;
	readonly getSpell: (failureDomain: string) => Spell | undefined;
	readonly getBusy: () => number;
};

/**
What an upstream is made from.
*/
export type BackendPlan = {
	readonly clock: Clock;
	readonly id: core.UpstreamId;
	readonly service: ScenarioService;
	readonly failureDomain: string;
	readonly spells: readonly Spell[];
	readonly rateLimits: readonly RateLimit[];
	/**
	From when on its answers say that it leaves, although its heartbeats do not.
	*/
	readonly drainingAt: number;
	/**
	Until when it works at half speed.
	*/
	readonly warmAt: number;
};

type Work = {
	readonly request: BackendRequest;
	cancel: utils.Teardown;
};

/**
Milliseconds in which an upstream resets or sheds.
*/
const AT_ONCE = 1;

/**
Milliseconds after an answer from which on what it told binds its host.
*/
const BINDING_MILLISECONDS: Readonly<Record<Closure['kind'], number>> = {backoff: 500, draining: 2000};
const COLD_TIMES = 2;
const MILLISECONDS = 1000;
const ERROR_PART = 0.8;

/**
Outcomes that come with an answer.
*/
const ANSWERS: ReadonlySet<BackendOutcome> = new Set(['success', 'error', 'shed']);

/**
Creates an upstream.
*/
export function createBackend({
	clock, id, service, failureDomain, spells, rateLimits, drainingAt, warmAt,
}: BackendPlan): Backend {
	const running = new Set<Work>();
	const queue: Work[] = [];
	const closures: Closure[] = [];

	const getSpell = (from: string) => {
		const now = clock.now();
		return spells.find(spell => spell.from <= now && now < spell.until && (spell.failureDomain ?? from) === from);
	};

	const findRateLimit = () => {
		const now = clock.now();
		return rateLimits.find(({from, until}) => from <= now && now < until);
	};

	const close = (kind: Closure['kind'], host: core.HostId, until: number) => {
		closures.push({
			kind, host, from: clock.now() + BINDING_MILLISECONDS[kind], until, arrivals: 0,
		});
	};

	/**
	Returns what an answer to a host advertises, and notes what binds the host from now on.
	*/
	const advertise = (outcome: BackendOutcome, {failureDomain: from, host}: BackendRequest): readonly core.Advertisement[] => {
		const advertisements: core.Advertisement[] = [];
		const rateLimit = findRateLimit();
		if (rateLimit !== undefined) {
			advertisements.push({kind: 'rate-limit', ratePerSecond: rateLimit.perSecond});
		}

		const milliseconds = outcome === 'shed' ? getSpell(from)?.backoffMilliseconds ?? 0 : 0;
		if (milliseconds > 0) {
			advertisements.push({kind: 'backoff', milliseconds});
			close('backoff', host, clock.now() + milliseconds);
		}

		if (clock.now() >= drainingAt) {
			advertisements.push({kind: 'draining'});
			close('draining', host, Infinity);
		}

		return advertisements;
	};

	const noteArrival = ({host}: BackendRequest) => {
		const now = clock.now();
		for (const closure of closures) {
			closure.arrivals += closure.host === host && closure.from < now && now < closure.until ? 1 : 0;
		}
	};

	const leave = (work: Work) => {
		work.cancel();
		const isRunning = running.delete(work);
		const place = queue.indexOf(work);
		if (place !== -1) {
			queue.splice(place, 1);
		}

		if (isRunning && queue.length > 0) {
			run(queue.shift()!);
		}
	};

	const endAfter = (work: Work, milliseconds: number, outcome: BackendOutcome) => {
		work.cancel = clock.schedule(milliseconds, () => {
			leave(work);
			work.request.end(outcome, ANSWERS.has(outcome) ? advertise(outcome, work.request) : []);
		});
	};

	const run = (work: Work) => {
		running.add(work);
		const {route, failureDomain: from, luck} = work.request;
		const spell = getSpell(from);
		const isHarmed = spell !== undefined && luck.harm < spell.failing;
		const milliseconds = luck.workMilliseconds * (clock.now() < warmAt ? COLD_TIMES : 1);
		if (isHarmed) {
			HARMS[spell.kind]({
				work, milliseconds, spell, endAfter,
			});
			return;
		}

		endAfter(work, milliseconds, luck.error < route.errorShare ? 'error' : 'success');
	};

	const noteSent = (spell: Spell | undefined, {route}: BackendRequest) => {
		if (spell === undefined) {
			return;
		}

		spell.lastSentAt = clock.now();
		spell.sent++;
		spell.sentUnrepeatable += route.requestClass === 'read' || route.requestClass === 'idempotent' ? 0 : 1;
	};

	const backend: Backend = {
		id,
		service: service.name,
		failureDomain,
		slots: service.slots,
		spells,
		rateLimits,
		closures,
		state: 'serving',
		take(request) {
			const work: Work = {request, cancel: () => undefined};
			noteSent(getSpell(request.failureDomain), request);
			findRateLimit()?.arrivals.push(clock.now());
			noteArrival(request);
			if (backend.state === 'gone' || (running.size >= service.slots && queue.length >= service.queue)) {
				endAfter(work, AT_ONCE, backend.state === 'gone' ? 'refused' : 'shed');
			} else if (running.size < service.slots) {
				run(work);
			} else {
				queue.push(work);
			}

			return () => {
				leave(work);
			};
		},
		getSpell,
		getBusy: () => running.size + queue.length,
	};
	return backend;
}

type Harm = (harmed: {
	readonly work: Work;
	readonly milliseconds: number;
	readonly spell: Spell;
	readonly endAfter: (work: Work, milliseconds: number, outcome: BackendOutcome) => void;
}) => void;

const HARMS: Readonly<Record<Spell['kind'], Harm>> = {
	hang: () => undefined,
	reset({work, endAfter}) {
		endAfter(work, AT_ONCE, 'reset');
	},
	error({work, milliseconds, endAfter}) {
		endAfter(work, milliseconds * ERROR_PART, 'error');
	},
	shed({work, endAfter}) {
		endAfter(work, AT_ONCE, 'shed');
	},
	slow({work, milliseconds, spell, endAfter}) {
		endAfter(work, milliseconds * spell.times, 'success');
	},
};

/**
Draws the rate limits that one upstream advertises over a day.
*/
export function drawRateLimits(kinds: readonly ScenarioRateLimit[], service: string, random: utils.Random): readonly RateLimit[] {
	return kinds
		.filter(kind => (kind.service ?? service) === service && random() < kind.share)
		.map(({atSeconds, forSeconds, perSecond}): RateLimit => ({
			from: atSeconds * MILLISECONDS, until: (atSeconds + forSeconds) * MILLISECONDS, perSecond, arrivals: [],
		}));
}

/**
Draws when the answers of one upstream begin to say that it leaves; Infinity when they never do.
*/
export function drawDraining(kinds: readonly ScenarioDraining[], service: string, random: utils.Random): number {
	const drawn = kinds.find(kind => (kind.service ?? service) === service && random() < kind.share);
	return drawn === undefined ? Infinity : drawn.atSeconds * MILLISECONDS;
}

/**
Draws the bad spells of one upstream over a day, in order of time.
*/
export function drawSpells(
	kinds: readonly ScenarioSpell[],
	{service, seconds, failureDomains, random}: {
		readonly service: string;
		readonly seconds: number;
		readonly failureDomains: readonly string[];
		readonly random: utils.Random;
	},
): readonly Spell[] {
	const spells = kinds
		.filter(kind => (kind.service ?? service) === service)
		.flatMap(kind => drawKind(kind, {seconds, failureDomains, random}));
	return spells.toSorted((left, right) => left.from - right.from);
}

function drawKind(
	kind: ScenarioSpell,
	{seconds, failureDomains, random}: {readonly seconds: number; readonly failureDomains: readonly string[]; readonly random: utils.Random},
): readonly Spell[] {
	const every = kind.everySeconds * MILLISECONDS;
	const mean = kind.lengthSeconds * MILLISECONDS;
	const spells: Spell[] = [];
	for (let from = -random() * every; from < seconds * MILLISECONDS; from += every) {
		const at = from + (random() * every / 2);
		// Half of its length is the same for all, so that none is over before anybody could see it.
		const length = (mean / 2) + drawExponential(random, mean / 2);
		if (random() < kind.share) {
			spells.push({
				kind: kind.kind,
				from: at,
				until: at + Math.min(every, length),
				failing: kind.failing,
				times: kind.times,
				backoffMilliseconds: kind.backoffSeconds * MILLISECONDS,
				...kind.isOneDomain && {failureDomain: failureDomains[utils.pickIndex(random, failureDomains.length)]!},
				sent: 0,
				sentUnrepeatable: 0,
				lastSentAt: -Infinity,
			});
		}
	}

	return spells;
}
