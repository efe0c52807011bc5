/**
Number of upstreams that a crashing request takes down, and number of other requests quarantined, by policy. A seeded
simulation in steps of one millisecond.

A `culprit` is a request that crashes each upstream that runs it; every other request is `innocent`. Some crashes have no
culprit: single upstreams crash at random, and a whole failure domain crashes at once. A host delays the failed answer of a
crash until the crash is committed and its notices have had time to reach the hosts, so that the caller can resend only
afterwards. The callers of a culprit then resend it through all hosts at once.
*/
import * as utils from 'wagtailroute-utils';
import * as records from '../index.ts';

/**
`trials`: the policy of this package. `no-completions`: the same, without regard to requests that completed before.
`two-crashes`: quarantines requests that were in flight at two crashes, without trials. `none`: ignores crashes.
*/
export type CrashPolicy = 'trials' | 'no-completions' | 'two-crashes' | 'none';

/**
Results of one policy.
*/
export type CrashRow = {
	readonly policy: CrashPolicy;
	readonly crashingRequests: number;
	/**
	Number of upstreams that the worst culprit crashed.
	*/
	readonly mostLost: number;
	readonly meanLost: number;
	/**
	Number of innocent fingerprints that were quarantined.
	*/
	readonly wrongQuarantines: number;
	readonly innocentRequests: number;
	/**
	Number of innocent requests that needed a trial, and of those that were refused.
	*/
	readonly innocentTrials: number;
	readonly innocentRefused: number;
};

const HOSTS = 8;
const UPSTREAMS = 8;
const SLOTS_PER_UPSTREAM = 4;
const RUN_MILLISECONDS = 300_000;
const REQUESTS_PER_MILLISECOND = 0.25;
const POPULAR_FRACTION = 0.7;
const POPULAR_REQUESTS = 30;
const MEAN_SERVICE_MILLISECONDS = 50;
const CRASH_AFTER_MILLISECONDS = 5;
const RESTART_MILLISECONDS = 3000;
const COMMIT_DELAY_MILLISECONDS = 6;
const NOTICE_DELAY_MILLISECONDS = 20;
const FAILED_ANSWER_DELAY_MILLISECONDS = 100;
const CULPRIT_INTERVAL_MILLISECONDS = 15_000;
const RANDOM_CRASH_INTERVAL_MILLISECONDS = 10_000;
const MAX_CULPRIT_CRASHES_WITH_RESENDS = 6;
const RETRY_DELAY_MILLISECONDS = 20;
const MAX_RETRIES = 100;
const DOMAIN_CRASH_INTERVAL_MILLISECONDS = 60_000;
const UPSTREAMS_PER_DOMAIN = 3;
const SEEDS = [9, 10, 11, 12];
const CULPRIT_PREFIX = 'culprit';

type Request = {readonly fingerprint: string; readonly host: number; readonly attempt: string; readonly retries: number};
type Running = {readonly request: Request; readonly isTrial: boolean; readonly endsAt: number};
type Upstream = {incarnation: number; upAt: number; running: Running[]};

/**
Runs all policies with the same load and seeds.
*/
export function benchCrashes(): CrashRow[] {
	const policies = ['trials', 'no-completions', 'two-crashes', 'none'] as const;
	return policies.map(policy => mergeRows(SEEDS.map(seed => measure(policy, seed))));
}

function mergeRows(rows: readonly CrashRow[]): CrashRow {
	const getSum = (name: Exclude<keyof CrashRow, 'policy'>) => rows.reduce((sum, row) => sum + row[name], 0);
	return {
		policy: rows[0]!.policy,
		crashingRequests: getSum('crashingRequests'),
		mostLost: Math.max(...rows.map(({mostLost}) => mostLost)),
		meanLost: getSum('meanLost') / rows.length,
		wrongQuarantines: getSum('wrongQuarantines'),
		innocentRequests: getSum('innocentRequests'),
		innocentTrials: getSum('innocentTrials'),
		innocentRefused: getSum('innocentRefused'),
	};
}

function measure(policy: CrashPolicy, seed: number): CrashRow {
	const random = utils.createRandom(seed);
	const group = records.createRecords();
	const upstreams: Upstream[] = Array.from({length: UPSTREAMS}, () => ({incarnation: 0, upAt: 0, running: []}));
	const completed = Array.from({length: HOSTS}, () => new Set<string>());
	const statuses = new Map<string, records.QuarantineStatus>();
	const actionsByTime = new Map<number, Array<() => void>>();
	const crashesByCulprit = new Map<string, number>();
	const wronglyQuarantined: string[] = [];
	const counts = {
		innocentRequests: 0, innocentTrials: 0, innocentRefused: 0, attempts: 0,
	};
	let now = 0;
	const schedule = (delay: number, action: () => void) => {
		const at = now + delay;
		actionsByTime.set(at, [...actionsByTime.get(at) ?? [], action]);
	};

	const apply = <Name extends records.CommandName>(name: Name, payload: records.CommandPayloads[Name]) => {
		const {result, notices} = group.apply({name, payload, stampedAt: now});
		for (const notice of notices) {
			utils.invariant(notice.kind === 'fingerprint', 'the run has no ejections');
			const {fingerprint, standing} = notice.change;
			schedule(NOTICE_DELAY_MILLISECONDS, () => {
				statuses.set(fingerprint, standing);
			});
			const isWrong = standing === 'quarantined' && !fingerprint.startsWith(CULPRIT_PREFIX);
			wronglyQuarantined.push(...(isWrong ? [fingerprint] : []));
		}

		return result;
	};

	const startExecution = (request: Request, index: number, isTrial: boolean) => {
		const isCulprit = request.fingerprint.startsWith(CULPRIT_PREFIX);
		const durationMilliseconds = Math.ceil(-Math.log(1 - random()) * MEAN_SERVICE_MILLISECONDS);
		upstreams[index]!.running.push({request, isTrial, endsAt: now + (isCulprit ? CRASH_AFTER_MILLISECONDS : durationMilliseconds)});
	};

	const retry = (request: Request) => {
		if (request.retries < MAX_RETRIES) {
			schedule(RETRY_DELAY_MILLISECONDS, () => {
				send({...request, retries: request.retries + 1});
			});
		} else if (!request.fingerprint.startsWith(CULPRIT_PREFIX)) {
			counts.innocentRefused++;
		}
	};

	const send = (request: Request) => {
		const free = upstreams.map((_upstream, index) => index)
			.filter(index => upstreams[index]!.upAt <= now && upstreams[index]!.running.length < SLOTS_PER_UPSTREAM);
		const index = free[utils.pickIndex(random, free.length)];
		if (index === undefined) {
			retry(request);
			return;
		}

		const standing = statuses.get(request.fingerprint);
		const isInnocent = !request.fingerprint.startsWith(CULPRIT_PREFIX);
		if (standing === 'quarantined') {
			counts.innocentRefused += isInnocent ? 1 : 0;
			return;
		}

		if (standing !== 'suspect' || policy === 'two-crashes') {
			startExecution(request, index, false);
			return;
		}

		const result = apply('request-trial', {
			service: 's', fingerprint: request.fingerprint, upstream: `u${index}`, attempt: request.attempt, budgetMilliseconds: 1000,
		});
		counts.innocentTrials += isInnocent && request.retries === 0 ? 1 : 0;
		if (result.kind === 'granted' || result.kind === 'clear') {
			startExecution(request, index, result.kind === 'granted');
		} else {
			retry(request);
		}
	};

	const startRequest = (fingerprint: string, host: number) => {
		send({
			fingerprint, host, attempt: `a${counts.attempts++}`, retries: 0,
		});
	};

	const crash = (index: number) => {
		const upstream = upstreams[index]!;
		const {running, incarnation} = upstream;
		upstream.running = [];
		upstream.incarnation++;
		upstream.upAt = now + RESTART_MILLISECONDS;
		schedule(COMMIT_DELAY_MILLISECONDS, () => {
			for (let host = 0; host < HOSTS; host++) {
				const fingerprints = running.filter(({request}) => request.host === host).map(({request}) => request.fingerprint);
				if (policy === 'none' || fingerprints.length === 0) {
					continue;
				}

				const inFlight = fingerprints.map(fingerprint => ({
					fingerprint, hasCompleted: policy === 'trials' && completed[host]!.has(fingerprint),
				}));
				apply('report-crash', {
					service: 's', upstream: `u${index}`, incarnation: String(incarnation), inFlight,
				});
			}

			for (const {request} of running) {
				schedule(FAILED_ANSWER_DELAY_MILLISECONDS, () => {
					handleFailure(request);
				});
			}
		});
	};

	const handleFailure = (request: Request) => {
		if (!request.fingerprint.startsWith(CULPRIT_PREFIX)) {
			// The host resends an idempotent request.
			send({...request, attempt: `a${counts.attempts++}`});
			return;
		}

		// The callers stop resending after a number of crashes.
		const hosts = (crashesByCulprit.get(request.fingerprint) ?? 0) < MAX_CULPRIT_CRASHES_WITH_RESENDS ? HOSTS : 0;
		for (let host = 0; host < hosts; host++) {
			startRequest(request.fingerprint, host);
		}
	};

	const finishExecutions = (index: number) => {
		const upstream = upstreams[index]!;
		const culprit = upstream.running.find(({request, endsAt}) => endsAt <= now && request.fingerprint.startsWith(CULPRIT_PREFIX));
		if (culprit !== undefined) {
			const {fingerprint} = culprit.request;
			crashesByCulprit.set(fingerprint, (crashesByCulprit.get(fingerprint) ?? 0) + 1);
			crash(index);
			return;
		}

		const ended = upstream.running.filter(({endsAt}) => endsAt <= now);
		for (const {request, isTrial} of ended) {
			completed[request.host]!.add(request.fingerprint);
			if (isTrial) {
				apply('end-trial', {service: 's', attempt: request.attempt, ending: 'completed'});
			}
		}

		upstream.running = upstream.running.filter(({endsAt}) => endsAt > now);
	};

	apply('open-service', {service: 's', origin: {kind: 'new'}});
	for (; now < RUN_MILLISECONDS; now++) {
		for (let index = 0; index < UPSTREAMS; index++) {
			finishExecutions(index);
		}

		for (const action of actionsByTime.get(now) ?? []) {
			action();
		}

		actionsByTime.delete(now);
		if (random() < REQUESTS_PER_MILLISECOND) {
			counts.innocentRequests++;
			const isPopular = random() < POPULAR_FRACTION;
			const name = isPopular ? `popular ${utils.pickIndex(random, POPULAR_REQUESTS)}` : `once ${now}`;
			startRequest(name, utils.pickIndex(random, HOSTS));
		}

		if (now % CULPRIT_INTERVAL_MILLISECONDS === 5000) {
			startRequest(`${CULPRIT_PREFIX} ${now}`, utils.pickIndex(random, HOSTS));
		}

		const domainCrashes = now % DOMAIN_CRASH_INTERVAL_MILLISECONDS === DOMAIN_CRASH_INTERVAL_MILLISECONDS / 2 ? UPSTREAMS_PER_DOMAIN : 0;
		for (let index = 0; index < domainCrashes; index++) {
			crash(index);
		}

		if (random() < 1 / RANDOM_CRASH_INTERVAL_MILLISECONDS) {
			crash(utils.pickIndex(random, UPSTREAMS));
		}
	}

	const crashCounts = crashesByCulprit.values().toArray();
	return {
		policy,
		crashingRequests: crashCounts.length,
		mostLost: Math.max(...crashCounts),
		meanLost: crashCounts.reduce((sum, count) => sum + count, 0) / crashCounts.length,
		wrongQuarantines: new Set(wronglyQuarantined).size,
		innocentRequests: counts.innocentRequests,
		innocentTrials: counts.innocentTrials,
		innocentRefused: counts.innocentRefused,
	};
}

/**
Runs the bench and checks its bounds. Each entry of `broken` describes a bound that does not hold.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const rows = benchCrashes();
	const getRow = (policy: CrashPolicy) => rows.find(row => row.policy === policy)!;
	const chosen = getRow('trials');
	const checks: ReadonlyArray<readonly [isKept: boolean, sentence: string]> = [
		[chosen.mostLost <= 2, `A request cost ${chosen.mostLost} upstreams, the bound is 2.`],
		[chosen.wrongQuarantines <= chosen.crashingRequests / 40, `${chosen.wrongQuarantines} innocents were quarantined, the bound is one for 40 crashing requests.`],
		[chosen.innocentRefused * 50 <= getRow('no-completions').innocentRefused, `${chosen.innocentRefused} innocents were refused, the bound is a fiftieth of those without completions.`],
		[getRow('two-crashes').mostLost > 2, 'The policy without trials loses no more: the load does not show the fault.'],
	];
	return {
		title: 'Upstreams lost to requests that crash them, and innocents harmed',
		rows: rows.map(row => ({
			policy: row.policy,
			'crashing requests': row.crashingRequests,
			'most lost to one': row.mostLost,
			'mean lost': Number(row.meanLost.toFixed(2)),
			'innocent requests': row.innocentRequests,
			'innocents quarantined': row.wrongQuarantines,
			'innocents refused': row.innocentRefused,
			'innocents on trial': row.innocentTrials,
		})),
		broken: checks.filter(([isKept]) => !isKept).map(([, sentence]) => sentence),
	};
}
