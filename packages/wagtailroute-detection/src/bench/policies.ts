/**
The policies that the bench compares: detection as built here, and two baselines as commonly run on each host alone.
*/
import * as utils from 'wagtailroute-utils';
import * as detection from '../index.ts';
import type * as simulation from './simulation.ts';

/**
A policy, and what it did.
*/
export type PolicyUnderTest = {
	readonly policy: simulation.Policy;
	/**
	Ejections so far, in upstreams taken out of service for all hosts; one host's local ejection counts by its share.
	*/
	readonly getEjections: () => ReadonlyArray<{readonly upstream: number; readonly at: number; readonly weight: number}>;
	/**
	Hosts that found their own network at fault.
	*/
	readonly getSelfReports: () => ReadonlySet<number>;
};

/**
Name of a policy.
*/
export type PolicyName = 'consecutive' | 'outliers' | 'fast' | 'careful';

const NO_REPORTS: ReadonlySet<number> = new Set();

// The usual defaults of such detectors: five failures in a row; 30 s out, longer each time; at most half ejected.
const CONSECUTIVE_FAILURES = 5;
const LOCAL_EJECTION_MILLISECONDS = 30_000;
const MAX_LOCAL_EJECTED_FRACTION = 0.5;

// The usual defaults of success-rate outliers, but for the least number of requests: 100 is never reached on these sizes.
const OUTLIER_INTERVAL_MILLISECONDS = 10_000;
const OUTLIER_DEVIATIONS = 1.9;
const MIN_OUTLIER_REQUESTS = 20;
const MIN_OUTLIER_UPSTREAMS = 5;

/**
Creates a subject by name.
*/
export const POLICIES: Readonly<Record<PolicyName, (size: simulation.ServiceSize, seed: number) => PolicyUnderTest>> = {
	consecutive: size => createConsecutive(size),
	outliers: size => createOutliers(size),
	fast: (size, seed) => createPooledDetection(size, seed, 'fast'),
	careful: (size, seed) => createPooledDetection(size, seed, 'careful'),
};

type LocalTable = {
	readonly getShare: simulation.Policy['getShare'];
	readonly eject: (host: number, upstream: number, now: number) => void;
	readonly getEjections: PolicyUnderTest['getEjections'];
};

function createLocalTable(size: simulation.ServiceSize): LocalTable {
	const until = createHostUpstreamTable(size, () => -1);
	const times = createHostUpstreamTable(size, () => 0);
	const ejections: Array<{upstream: number; at: number; weight: number}> = [];
	return {
		getShare: (host, upstream, now) => now < until[host]![upstream]! ? 0 : 1,
		eject(host, upstream, now) {
			const ejected = until[host]!.filter(time => now < time).length;
			if (now < until[host]![upstream]! || ejected + 1 > size.upstreams * MAX_LOCAL_EJECTED_FRACTION) {
				return;
			}

			times[host]![upstream]!++;
			until[host]![upstream] = now + (LOCAL_EJECTION_MILLISECONDS * times[host]![upstream]!);
			ejections.push({upstream, at: now, weight: 1 / size.hosts});
		},
		getEjections: () => ejections,
	};
}

function createConsecutive(size: simulation.ServiceSize): PolicyUnderTest {
	const local = createLocalTable(size);
	const inRow = createHostUpstreamTable(size, () => 0);
	return {
		policy: {
			getShare: local.getShare,
			begin: () => undefined,
			end(_handle, {host, upstream, result, now}) {
				inRow[host]![upstream] = result === 'success' ? 0 : inRow[host]![upstream]! + 1;
				if (!(inRow[host]![upstream] >= CONSECUTIVE_FAILURES)) {
					return;
				}

				inRow[host]![upstream] = 0;
				local.eject(host, upstream, now);
			},
			step() {
				// Decides at each answer.
			},
		},
		getEjections: local.getEjections,
		getSelfReports: () => NO_REPORTS,
	};
}

function createOutliers(size: simulation.ServiceSize): PolicyUnderTest {
	const local = createLocalTable(size);
	const good = createHostUpstreamTable(size, () => 0);
	const all = createHostUpstreamTable(size, () => 0);
	const ejectOutliers = (host: number, now: number): void => {
		const rates = all[host]!
			.map((count, upstream) => ({upstream, count, rate: good[host]![upstream]! / count}))
			.filter(({count}) => count >= MIN_OUTLIER_REQUESTS);
		all[host]!.fill(0);
		good[host]!.fill(0);
		if (rates.length < MIN_OUTLIER_UPSTREAMS) {
			return;
		}

		const mean = getMean(rates.map(({rate}) => rate));
		const deviation = Math.sqrt(getMean(rates.map(({rate}) => (rate - mean) ** 2)));
		for (const {upstream, rate} of rates) {
			if (rate < mean - (OUTLIER_DEVIATIONS * deviation)) {
				local.eject(host, upstream, now);
			}
		}
	};

	return {
		policy: {
			getShare: local.getShare,
			begin: () => undefined,
			end(_handle, {host, upstream, result}) {
				all[host]![upstream]!++;
				good[host]![upstream]! += result === 'success' ? 1 : 0;
			},
			step(now) {
				for (let host = 0; host < size.hosts; host++) {
					// Hosts started at different times.
					const offset = (host * OUTLIER_INTERVAL_MILLISECONDS) / size.hosts;
					const phase = Math.round((now + offset) / 5) * 5;
					if (phase % OUTLIER_INTERVAL_MILLISECONDS === 0) {
						ejectOutliers(host, now);
					}
				}
			},
		},
		getEjections: local.getEjections,
		getSelfReports: () => NO_REPORTS,
	};
}

// Hosts that run the decision. All hosts would come to the same one from the same summaries; a few show as much and keep
// the bench short. Host 0 is the one with path faults.
const DETECTING_HOSTS = 3;
const MESSAGE_DELAY_MILLISECONDS = 2;
const GRANT_DELAY_MILLISECONDS = 10;
const TRIAL_TRAFFIC_FRACTION = 0.1;

// Preference against an upstream: it still gets work when the others are full, which this fleet rarely is.
const STEERED_TRAFFIC_FRACTION = 0;

function createPooledDetection(size: simulation.ServiceSize, seed: number, operatingPoint: detection.OperatingPointName): PolicyUnderTest {
	const random = utils.createRandom(seed + 3);
	const evidence = Array.from({length: size.hosts}, (_, host) => detection.createEvidenceCollector({
		host: `host ${host}`,
		failureDomain: `domain ${host % size.failureDomains}`,
		epoch: 1,
	}));
	const upstreams = Array.from({length: size.upstreams}, (_, upstream): detection.Upstream => ({
		id: String(upstream),
		state: 'serving',
	}));
	const states = Array.from({length: Math.min(DETECTING_HOSTS, size.hosts)}, (_, host) =>
		detection.createDetectionState({host: `host ${host}`, operatingPoint}));
	const ejected = new Set<string>();
	const trials = new Set<string>();
	const steered = createHostUpstreamTable(size, () => -1);
	const ejections: Array<{upstream: number; at: number; weight: number}> = [];
	const selfReports = new Set<number>();
	let messages: Array<{at: number; to: number; event: detection.Event}> = [];
	// Hosts started at different times: each has a clock of its own.
	const getClock = (host: number, now: number): number => now + ((host * detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS) / size.hosts);
	const tickedAt = Array.from({length: states.length}, () => -Infinity);

	const sendToAll = (at: number, event: detection.Event): void => {
		for (const to of states.keys()) {
			messages.push({at, to, event});
		}
	};

	const handleEjection = (upstream: string, now: number): void => {
		const counts = {
			healthyFloor: {kind: 'percent', value: 50} as const,
			serving: size.upstreams - ejected.size,
			ejected: ejected.size,
			draining: 0,
		};
		if (ejected.has(upstream)) {
			return;
		}

		if (!detection.isEjectionAllowed(counts)) {
			sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'refused', upstream, reason: 'floor'});
			return;
		}

		ejected.add(upstream);
		ejections.push({upstream: Number(upstream), at: now + GRANT_DELAY_MILLISECONDS, weight: 1});
		sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'ejected', upstream});
	};

	const applyEffect = (host: number, effect: detection.Effect, now: number): void => {
		const handlers: {readonly [Kind in detection.Effect['kind']]: (
			effect: Extract<detection.Effect, {kind: Kind}>,
		) => void} = {
			'request-ejection'({upstream}) {
				handleEjection(upstream, now);
			},
			'request-readmission'({upstream}) {
				ejected.delete(upstream);
				sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'readmitted', upstream});
			},
			'start-trial'({upstream}) {
				trials.add(upstream);
			},
			'end-trial'({upstream}) {
				trials.delete(upstream);
			},
			'steer-away'({upstream, until}) {
				steered[host]![Number(upstream)] = until;
			},
			'report-shared'() {
				// For operators only.
			},
			'report-self'() {
				selfReports.add(host);
			},
		};
		(handlers[effect.kind] as (effect: detection.Effect) => void)(effect);
	};

	const tell = (host: number, event: detection.Event, now: number): void => {
		const {state, effects} = detection.stepDetection(states[host]!, event, {now, random});
		states[host] = state;
		for (const effect of effects) {
			applyEffect(host, effect, now);
		}
	};

	for (const host of states.keys()) {
		tell(host, {kind: 'upstreams-changed', upstreams}, 0);
	}

	return {
		policy: {
			getShare(host, upstream, now) {
				const id = String(upstream);
				if (ejected.has(id)) {
					return trials.has(id) ? TRIAL_TRAFFIC_FRACTION : 0;
				}

				return now < steered[host]![upstream]! ? STEERED_TRAFFIC_FRACTION : 1;
			},
			begin: (host, upstream, now) => evidence[host]!.begin(String(upstream), getClock(host, now)),
			end(handle, {host, result, now}) {
				evidence[host]!.end(handle as detection.InFlightRequest, result, getClock(host, now));
			},
			step(now) {
				const due = messages.filter(({at}) => at <= now);
				messages = messages.filter(({at}) => at > now);
				for (const {to, event} of due) {
					tell(to, event, now);
				}

				for (let host = 0; host < size.hosts; host++) {
					const summary = evidence[host]!.collectDueSummary(getClock(host, now), detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS);
					if (summary === undefined) {
						continue;
					}

					sendToAll(now + MESSAGE_DELAY_MILLISECONDS, {kind: 'summary', summary});
					for (const [other, own] of evidence.entries()) {
						if (other !== host) {
							own.applySummary(summary, getClock(other, now));
						}
					}
				}

				for (const host of states.keys()) {
					const isOn = now % detection.TICK_INTERVAL_MILLISECONDS === (host * 25) % detection.TICK_INTERVAL_MILLISECONDS;
					if (!(isOn && now - tickedAt[host]! >= detection.getTickIntervalMilliseconds(states[host]!))) {
						continue;
					}

					tickedAt[host] = now;
					tell(host, {kind: 'tick'}, now);
				}
			},
		},
		getEjections: () => ejections,
		getSelfReports: () => selfReports,
	};
}

function createHostUpstreamTable<Cell>(size: simulation.ServiceSize, create: () => Cell): Cell[][] {
	return Array.from({length: size.hosts}, () => Array.from({length: size.upstreams}, () => create()));
}

function getMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
