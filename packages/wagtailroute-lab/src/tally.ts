/**
What became of a day's requests, and the figures that policies are compared by.
*/
import * as histograms from 'hdr-histogram-js';
import * as dispatch from 'wagtailroute-dispatch';
import type {Arrival} from './arrivals.ts';
import type {
	Backend,
	Closure,
	RateLimit,
	Spell,
} from './backend.ts';
import {getLeastUsedShare} from './sound-upstreams.ts';
import type {Scenario, ScenarioRoute} from './scenario.ts';

/**
Why a request was not served.
*/
export type Cause = 'refused' | 'hung' | 'reset' | 'error' | 'no-connection' | 'left';

/**
What became of a request.
*/
export type Fate =
	| {readonly kind: 'served'; readonly milliseconds: number}
	| {readonly kind: 'unserved'; readonly cause: Cause};

/**
Figures of one day. Shares are of all requests.
*/
export type Figures = {
	/**
	What the days are judged by: the weighted parts of the goal, 0 to 1.
	*/
	readonly value: number;
	readonly served: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly hung: number;
	readonly reset: number;
	readonly error: number;
	readonly noConnection: number;
	/**
	Part of the worth that was earned in the worst two seconds, and of the worst route.
	*/
	readonly worstSeconds: number;
	readonly worstRoute: number;
	readonly earned: number;
	readonly medianMilliseconds: number;
	readonly p99Milliseconds: number;
	/**
	Requests sent into a bad spell, and those of them that may not be sent again.
	*/
	readonly sentIntoSpell: number;
	readonly unrepeatableIntoSpell: number;
	/**
	Milliseconds from the start of a spell to the last request that is sent into it, of those that any was sent into.
	*/
	readonly spellMilliseconds: number;
	/**
	Suspensions of upstreams in no spell, and resends, for each 1,000 requests.
	*/
	readonly falseSuspensions: number;
	readonly resends: number;
	/**
	Most resends to a service beyond what the budget gives in one of its windows.
	*/
	readonly resendExcess: number;
	/**
	Most requests beyond its rate limit that an upstream got in four seconds.
	*/
	readonly rateLimitExcess: number;
	/**
	Most requests of a host that reached an upstream while the host was to send it nothing, after a backoff and after it said that it leaves.
	*/
	readonly backoffArrivals: number;
	readonly drainingArrivals: number;
	/**
	Most requests of an organisation in five seconds beyond what may pass; negative where all are within.
	*/
	readonly allotmentExcess: number;
	/**
	Most requests of an organisation in five seconds, as a part of what may pass.
	*/
	readonly allotmentLoad: number;
	/**
	Part of the requests of organisations that never flood that were refused.
	*/
	readonly refusedWithinAllotment: number;
	/**
	Least share of the sound upstreams of a service that got requests in two seconds in which a part of its requests was not served.
	*/
	readonly leastUsedShare: number;
	/**
	Microseconds of processor time of the whole model for each request.
	*/
	readonly microseconds: number;
};

/**
Counts a day's requests.
*/
export type Tally = {
	/**
	@param askedAt When the caller first asked.
	*/
	readonly note: (arrival: Pick<Arrival, 'route' | 'service'>, askedAt: number, fate: Fate) => void;
	/**
	An attempt of an organisation's caller was refused, or may have run.

	@param at When the caller asked.
	*/
	readonly noteOrganisation: (name: string, at: number, isRefused: boolean) => void;
	readonly noteSent: (attempt: SentAttempt, at: number) => void;
	readonly noteFalseSuspension: () => void;
	readonly finish: (upstreams: UpstreamTallies) => Figures;
};

/**
An attempt that is sent to an upstream.
*/
export type SentAttempt = {
	readonly service: string;
	readonly upstream: string;
	readonly isResend: boolean;
};

/**
What upstreams have counted.
*/
export type UpstreamTallies = {
	readonly spells: ReadonlyArray<Pick<Spell, 'from' | 'sent' | 'sentUnrepeatable' | 'lastSentAt'>>;
	readonly rateLimits: readonly RateLimit[];
	readonly closures: readonly Closure[];
	/**
	Those that served all day.
	*/
	readonly serving: ReadonlyArray<Pick<Backend, 'id' | 'service' | 'spells'>>;
	readonly cpuMicroseconds: number;
};

type Sum = {
	owed: number;
	earned: number;
};

const WINDOW_MILLISECONDS = 2000;
const WORST_WINDOWS = 2;
const RATE_LIMIT_WINDOW_MILLISECONDS = 4000;
const RATE_LIMIT_GRACE_MILLISECONDS = 1500;
const MILLISECONDS = 1000;

/**
What an organisation may send beyond its rate and burst in a window: the users' bound.
*/
const ALLOTMENT_WINDOW_MILLISECONDS = 5000;
const ALLOTMENT_OVER = 0.1;
const ALLOTMENT_SLACK = 20;
const CAUSES: readonly Cause[] = ['refused', 'hung', 'reset', 'error', 'no-connection', 'left'];

/**
Starts counting.
*/
export function createTally(scenario: Scenario): Tally {
	const windows = new Map<number, Sum>();
	const routes = new Map<string, Sum>();
	const causes = new Map<Cause, number>(CAUSES.map(cause => [cause, 0]));
	const latencies = histograms.build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3});
	const total: Sum = {owed: 0, earned: 0};
	let count = 0;
	let inTime = 0;
	let late = 0;
	const uses = new Map<string, {readonly at: number[]; refused: number}>(scenario.organisations.map(({name}) => [name, {at: [], refused: 0}]));
	const sentTimes = new Map<string, SentTimes>();
	const requests = new Map<string, Array<{readonly at: number; readonly isServed: boolean}>>();
	const arrivals = new Map<string, number[]>();
	let falseSuspensions = 0;

	const append = <Item>(lists: Map<string, Item[]>, key: string, item: Item) => {
		const list = lists.get(key) ?? [];
		lists.set(key, list);
		list.push(item);
	};

	const add = <Key>(sums: Map<Key, Sum>, key: Key, {owed, earned}: Sum) => {
		const sum = sums.get(key) ?? {owed: 0, earned: 0};
		sum.owed += owed;
		sum.earned += earned;
		sums.set(key, sum);
	};

	const getEarned = (route: ScenarioRoute, fate: Fate) => {
		if (fate.kind === 'unserved') {
			return 0;
		}

		return fate.milliseconds <= route.objectiveMilliseconds ? route.worth : route.lateWorth;
	};

	return {
		note({route, service}, askedAt, fate) {
			append(requests, service, {at: askedAt, isServed: fate.kind === 'served'});
			const earned = getEarned(route, fate);
			count++;
			total.owed += route.worth;
			total.earned += earned;
			add(windows, Math.floor(askedAt / WINDOW_MILLISECONDS), {owed: route.worth, earned});
			add(routes, route.name, {owed: route.worth, earned});
			if (fate.kind === 'unserved') {
				causes.set(fate.cause, causes.get(fate.cause)! + 1);
				return;
			}

			latencies.recordValue(Math.max(1, fate.milliseconds));
			inTime += fate.milliseconds <= route.objectiveMilliseconds ? 1 : 0;
			late += fate.milliseconds <= route.objectiveMilliseconds ? 0 : 1;
		},
		noteOrganisation(name, at, isRefused) {
			const use = uses.get(name)!;
			if (isRefused) {
				use.refused++;
			} else {
				use.at.push(at);
			}
		},
		noteSent({service, upstream, isResend}, at) {
			append(arrivals, upstream, at);
			const times = sentTimes.get(service) ?? {firsts: [], resends: []};
			sentTimes.set(service, times);
			times[isResend ? 'resends' : 'firsts'].push(at);
		},
		noteFalseSuspension() {
			falseSuspensions++;
		},
		finish({spells, rateLimits, closures, serving, cpuMicroseconds}) {
			const shares = windows.values().map(({owed, earned}) => earned / owed).toArray().toSorted((left, right) => left - right);
			const worst = shares.slice(0, WORST_WINDOWS);
			const worstSeconds = worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
			const worstRoute = Math.min(...routes.values().map(({owed, earned}) => earned / owed));
			const unserved = Math.max(1e-6, 1 - ((inTime + late) / count));
			const {goal} = scenario;
			const nines = Math.min(1, Math.log(unserved) / Math.log(goal.ninesBest));
			const earned = total.earned / total.owed;
			const allotmentWindows = listAllotmentWindows(scenario, uses);
			const hit = spells.filter(({sent}) => sent > 0);
			const sum = (pick: (spell: (typeof hit)[number]) => number) => hit.reduce((before, spell) => before + pick(spell), 0) / Math.max(1, hit.length);
			return {
				value: (goal.earned * earned) + (goal.worstSeconds * worstSeconds) + (goal.worstRoute * worstRoute) + (goal.nines * nines),
				served: (inTime + late) / count,
				inTime: inTime / count,
				late: late / count,
				refused: causes.get('refused')! / count,
				hung: causes.get('hung')! / count,
				reset: causes.get('reset')! / count,
				error: causes.get('error')! / count,
				noConnection: (causes.get('no-connection')! + causes.get('left')!) / count,
				worstSeconds,
				worstRoute,
				earned,
				medianMilliseconds: latencies.getValueAtPercentile(50),
				p99Milliseconds: latencies.getValueAtPercentile(99),
				sentIntoSpell: sum(({sent}) => sent),
				unrepeatableIntoSpell: sum(({sentUnrepeatable}) => sentUnrepeatable),
				spellMilliseconds: sum(({from, lastSentAt}) => lastSentAt - Math.max(0, from)),
				falseSuspensions: falseSuspensions * 1000 / count,
				resends: sentTimes.values().reduce((before, times) => before + times.resends.length, 0) * 1000 / count,
				resendExcess: Math.max(0, ...sentTimes.entries().map(([service, {resends}]) => {
					const asked = (requests.get(service) ?? []).map(({at}) => at);
					return dispatch.getExcess(dispatch.findWorstWindow({requests: asked, resends}, scenario.budget));
				})),
				rateLimitExcess: Math.max(0, ...rateLimits.map(rateLimit => countExcess(rateLimit))),
				backoffArrivals: countMost(closures, 'backoff'),
				drainingArrivals: countMost(closures, 'draining'),
				allotmentExcess: getMost(allotmentWindows, ({most, allowed}) => most - allowed),
				allotmentLoad: getMost(allotmentWindows, ({most, allowed}) => most / allowed),
				refusedWithinAllotment: getRefusedShare(scenario, uses),
				leastUsedShare: Math.min(1, ...requests.entries().map(([service, asked]) => getLeastUsedShare({
					requests: asked,
					upstreams: serving.filter(upstream => upstream.service === service).map(upstream => ({...upstream, arrivals: arrivals.get(upstream.id) ?? []})),
				}))),
				microseconds: cpuMicroseconds / count,
			};
		},
	};
}

/**
When requests were sent to a service, in order.
*/
type SentTimes = {
	readonly firsts: number[];
	readonly resends: number[];
};

type OrganisationUse = {
	readonly at: readonly number[];
	readonly refused: number;
};

/**
The worst window of an organisation.
*/
type AllotmentWindow = {
	readonly most: number;
	readonly allowed: number;
};

function listAllotmentWindows({organisations}: Scenario, uses: ReadonlyMap<string, OrganisationUse>): readonly AllotmentWindow[] {
	return organisations.map(({name, perSecond, burst}) => ({
		most: countInWindow(uses.get(name)!.at.toSorted((left, right) => left - right), ALLOTMENT_WINDOW_MILLISECONDS),
		allowed: (((perSecond * ALLOTMENT_WINDOW_MILLISECONDS / MILLISECONDS) + burst) * (1 + ALLOTMENT_OVER)) + ALLOTMENT_SLACK,
	}));
}

function getMost(windows: readonly AllotmentWindow[], getFigure: (window: AllotmentWindow) => number): number {
	return windows.length === 0 ? 0 : Math.max(...windows.map(window => getFigure(window)));
}

/**
Returns the most times within any window.

@param times In order.
*/
function countInWindow(times: readonly number[], windowMilliseconds: number): number {
	let most = 0;
	let first = 0;
	for (const [last, at] of times.entries()) {
		while (at - times[first]! > windowMilliseconds) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

function getRefusedShare({organisations}: Scenario, uses: ReadonlyMap<string, OrganisationUse>): number {
	const quiet = organisations.filter(({floods}) => floods.length === 0).map(({name}) => uses.get(name)!);
	const refused = quiet.reduce((sum, use) => sum + use.refused, 0);
	return refused / Math.max(1, quiet.reduce((sum, use) => sum + use.at.length + use.refused, 0));
}

function countMost(closures: readonly Closure[], kind: Closure['kind']): number {
	return Math.max(0, ...closures.filter(closure => closure.kind === kind).map(({arrivals}) => arrivals));
}

/**
Leaves out the time in which hosts may not have received the limit yet.
*/
function countExcess({from, perSecond, arrivals}: RateLimit): number {
	const bound = arrivals.filter(at => at >= from + RATE_LIMIT_GRACE_MILLISECONDS);
	const counts = bound.map(start => bound.filter(at => at >= start && at < start + RATE_LIMIT_WINDOW_MILLISECONDS).length);
	return Math.max(0, ...counts) - (perSecond * RATE_LIMIT_WINDOW_MILLISECONDS / MILLISECONDS);
}
