/**
Bench of the choice of an upstream: latency and sheds compared with random and least-outstanding choice, with one slow
upstream and hosts that do not coordinate single requests. Deterministic: seeded, in simulated time.

An upstream whose slots are all busy sheds the request (503, `not-run`) and the host tries another one, up to three upstreams;
then it tries them again after a backoff, until the deadline.
*/
import * as utils from 'wagtailroute-utils';
import * as eventQueues from './event-queue.ts';
import * as choosers from './choosers.ts';

/**
Result of one chooser at one load.
*/
export type Row = {
	readonly hosts: number;
	readonly load: number;
	readonly chooser: choosers.ChooserName;
	readonly requests: number;
	readonly p50Milliseconds: number;
	readonly p99Milliseconds: number;
	/**
	Sheds per 100 requests.
	*/
	readonly shedsPercent: number;
	/**
	Requests without an answer by their deadline, per 100 requests.
	*/
	readonly failedPercent: number;
};

const UPSTREAMS = 30;
const SLOTS = 4;
const FAILURE_DOMAINS = 4;
const MEDIAN_MILLISECONDS = 40;
const SIGMA = 0.5;
const SLOW_UPSTREAM = 0;
const SLOW_FACTOR = 10;
const LOCAL_MILLISECONDS = 0.25;
const REMOTE_MILLISECONDS = 1;
const MAX_ATTEMPTS = 3;
const BACKOFF_MILLISECONDS = 5;
const DEADLINE_MILLISECONDS = 2000;
const WARM_UP_MILLISECONDS = 3000;
const DURATION_MILLISECONDS = 18_000;

const HOSTS: readonly number[] = [40, 8, 4];
const LOADS: readonly number[] = [0.5, 0.8, 0.95];
const CHOOSER_NAMES: readonly choosers.ChooserName[] = ['random', 'least-outstanding', 'power-of-two', 'selector without shares', 'selector'];

/**
Runs the bench and returns its rows.
*/
export function runSelectionBench({seed = 1, hosts: chosen = HOSTS}: {
	readonly seed?: number;
	readonly hosts?: readonly number[];
} = {}): Row[] {
	return chosen.flatMap(hosts => LOADS.flatMap(load => CHOOSER_NAMES.map(chooser => run(hosts, load, chooser, seed))));
}

/**
Returns the broken bounds: the p99 and the sheds of the selector must stay below those of both baselines with the same hosts
and load. Only rows of the same run are compared.
*/
export function getBrokenBounds(rows: readonly Row[]): string[] {
	return rows.filter(({chooser}) => chooser === 'selector').flatMap(row => {
		const baselines = rows.filter(({hosts, load, chooser}) =>
			hosts === row.hosts && load === row.load && (chooser === 'random' || chooser === 'least-outstanding'));
		const p99 = Math.min(...baselines.map(({p99Milliseconds}) => p99Milliseconds));
		const sheds = Math.min(...baselines.map(({shedsPercent}) => shedsPercent));
		const name = `selection, ${row.hosts} hosts at ${row.load * 100}% load`;
		return [
			...(row.p99Milliseconds > p99 * MAX_P99_RATIO ? [`${name}: p99 ${row.p99Milliseconds} ms, baseline ${p99} ms`] : []),
			...(row.shedsPercent > sheds * MAX_SHEDS_RATIO ? [`${name}: sheds ${row.shedsPercent}%, baseline ${sheds}%`] : []),
		];
	});
}

const MAX_P99_RATIO = 0.95;
const MAX_SHEDS_RATIO = 0.95;

type Request = {
	readonly host: number;
	readonly arrivedAt: number;
	readonly serviceMilliseconds: number;
	readonly isCounted: boolean;
};

function run(hosts: number, load: number, chooser: choosers.ChooserName, seed: number): Row {
	const arrivals = utils.createRandom(seed);
	const serviceTimes = utils.createRandom(seed + 1);
	const random = utils.createRandom(seed + 2);
	const events = eventQueues.createEventQueue();
	const byHost = Array.from({length: hosts}, (_, host) => choosers.CHOOSERS[chooser]({
		host,
		hosts,
		upstreams: UPSTREAMS,
		slots: SLOTS,
		failureDomains: FAILURE_DOMAINS,
		random,
	}));
	const busySlots = Array.from({length: UPSTREAMS}, () => 0);
	const latencies: number[] = [];
	let requests = 0;
	let sheds = 0;
	let failed = 0;

	const attempt = (request: Request, now: number, tried: ReadonlySet<number>): void => {
		if (now - request.arrivedAt >= DEADLINE_MILLISECONDS) {
			failed += request.isCounted ? 1 : 0;
			return;
		}

		const host = byHost[request.host]!;
		const upstream = tried.size >= MAX_ATTEMPTS ? undefined : host.choose(now, tried);
		if (upstream === undefined) {
			events.schedule(now + BACKOFF_MILLISECONDS, later => {
				attempt(request, later, new Set());
			});
			return;
		}

		host.begin(upstream, now);
		const oneWayMilliseconds = getOneWayMilliseconds(request.host, upstream);
		events.schedule(now + oneWayMilliseconds, reached => {
			arrive(request, upstream, {now: reached, sentAt: now, tried});
		});
	};

	const arrive = (request: Request, upstream: number, {now, sentAt, tried}: {
		readonly now: number;
		readonly sentAt: number;
		readonly tried: ReadonlySet<number>;
	}): void => {
		const isShed = busySlots[upstream]! >= SLOTS;
		const serviceMilliseconds = isShed ? 0 : request.serviceMilliseconds * (upstream === SLOW_UPSTREAM ? SLOW_FACTOR : 1);
		sheds += isShed && request.isCounted ? 1 : 0;
		if (!isShed) {
			busySlots[upstream]!++;
			events.schedule(now + serviceMilliseconds, () => {
				busySlots[upstream]!--;
			});
		}

		events.schedule(now + serviceMilliseconds + getOneWayMilliseconds(request.host, upstream), ended => {
			const result = isShed ? 'shed' : 'success';
			byHost[request.host]!.end(upstream, {now: ended, latencyMilliseconds: ended - sentAt, result});
			if (isShed) {
				attempt(request, ended, new Set([...tried, upstream]));
			} else if (request.isCounted) {
				latencies.push(ended - request.arrivedAt);
			}
		});
	};

	const meanMilliseconds = MEDIAN_MILLISECONDS * Math.exp((SIGMA ** 2) / 2);
	const requestsPerMillisecond = (load * UPSTREAMS * SLOTS) / meanMilliseconds;
	const startRequest = (now: number): void => {
		const isCounted = now >= WARM_UP_MILLISECONDS;
		requests += isCounted ? 1 : 0;
		attempt({
			host: utils.pickIndex(arrivals, hosts),
			arrivedAt: now,
			serviceMilliseconds: MEDIAN_MILLISECONDS * Math.exp(SIGMA * drawNormal(serviceTimes)),
			isCounted,
		}, now, new Set());
		const next = now - (Math.log(1 - arrivals()) / requestsPerMillisecond);
		if (next < DURATION_MILLISECONDS) {
			events.schedule(next, startRequest);
		}
	};

	startRequest(0);
	events.runUntil(DURATION_MILLISECONDS * 2);
	latencies.sort((left, right) => left - right);
	return {
		hosts,
		load,
		chooser,
		requests,
		p50Milliseconds: getQuantile(latencies, 0.5),
		p99Milliseconds: getQuantile(latencies, 0.99),
		shedsPercent: round((sheds * 100) / requests),
		failedPercent: round((failed * 100) / requests),
	};
}

function getOneWayMilliseconds(host: number, upstream: number): number {
	const isLocal = choosers.getFailureDomain(host, FAILURE_DOMAINS) === choosers.getFailureDomain(upstream, FAILURE_DOMAINS);
	return isLocal ? LOCAL_MILLISECONDS : REMOTE_MILLISECONDS;
}

function getQuantile(sorted: readonly number[], quantile: number): number {
	return round(sorted[Math.max(0, Math.ceil(sorted.length * quantile) - 1)] ?? 0);
}

function drawNormal(random: utils.Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
