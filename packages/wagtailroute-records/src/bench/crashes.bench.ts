/**
Upstreams lost to requests that crash them, and innocent requests quarantined, by policy. Simulated time in steps of one
millisecond, seeded.

Some crashes have no culprit: single upstreams at random, and a whole failure domain at once. A host holds the failing
answer of a crash until the crash is committed and had time to spread: only then can its caller send again. The callers of
a crashing request then send it through all hosts at once.
*/
import * as utils from 'wagtailroute-utils';
import * as records from '../index.ts';

/**
`trials` is this package's; `no-completions` does without what hosts saw complete; `two-crashes` quarantines whatever was in
flight at two crashes, without trials; `none` forgets crashes.
*/
export type CrashPolicy = 'trials' | 'no-completions' | 'two-crashes' | 'none';

/**
One row.
*/
export type CrashRow = {
	readonly policy: CrashPolicy;
	readonly crashingRequests: number;
	/**
	Upstreams lost to the worst of the crashing requests.
	*/
	readonly mostLost: number;
	readonly meanLost: number;
	/**
	Innocent fingerprints that were quarantined.
	*/
	readonly wrongQuarantines: number;
	readonly innocentRequests: number;
	/**
	Innocent requests that waited for a trial, and those refused.
	*/
	readonly innocentTrials: number;
	readonly innocentRefused: number;
};

const HOSTS = 8;
const UPSTREAMS = 8;
const SLOTS = 4;
const MILLISECONDS = 300_000;
const REQUESTS_PER_MILLISECOND = 0.25;
const POPULAR_PART = 0.7;
const POPULAR = 30;
const SERVICE_MILLISECONDS = 50;
const CRASH_AFTER_MILLISECONDS = 5;
const RESTART_MILLISECONDS = 3000;
const COMMIT_MILLISECONDS = 6;
const SPREAD_MILLISECONDS = 20;
const HOLD_MILLISECONDS = 100;
const CULPRIT_EVERY_MILLISECONDS = 15_000;
const CHANCE_CRASH_EVERY_MILLISECONDS = 10_000;
const CULPRIT_ROUNDS = 6;
const RETRY_MILLISECONDS = 20;
const MAX_TRIES = 100;
const DOMAIN_EVERY_MILLISECONDS = 60_000;
const DOMAIN_UPSTREAMS = 3;
const SEEDS = [9, 10, 11, 12];
const CULPRIT = 'culprit';

type Request = {readonly fingerprint: string; readonly host: number; readonly attempt: string; readonly tries: number};
type Running = {readonly request: Request; readonly isTrial: boolean; readonly endsAt: number};
type Upstream = {life: number; upAt: number; running: Running[]};

/**
Runs all policies on the same load.
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
	const cell = records.createRecords();
	const upstreams: Upstream[] = Array.from({length: UPSTREAMS}, () => ({life: 0, upAt: 0, running: []}));
	const completed = Array.from({length: HOSTS}, () => new Set<string>());
	const known = new Map<string, records.QuarantineStatus>();
	const agenda = new Map<number, Array<() => void>>();
	const lost = new Map<string, number>();
	const wrong: string[] = [];
	const counts = {
		innocentRequests: 0, innocentTrials: 0, innocentRefused: 0, attempts: 0,
	};
	let now = 0;
	const plan = (delay: number, action: () => void) => {
		const at = now + delay;
		agenda.set(at, [...agenda.get(at) ?? [], action]);
	};

	const apply = <Name extends records.CommandName>(name: Name, payload: records.CommandPayloads[Name]) => {
		const {result, notices} = cell.apply({name, payload, stampedAt: now});
		for (const notice of notices) {
			utils.invariant(notice.kind === 'fingerprint', 'nothing is ejected here');
			const {fingerprint, standing} = notice.change;
			plan(SPREAD_MILLISECONDS, () => {
				known.set(fingerprint, standing);
			});
			const isWrong = standing === 'quarantined' && !fingerprint.startsWith(CULPRIT);
			wrong.push(...(isWrong ? [fingerprint] : []));
		}

		return result;
	};

	const begin = (request: Request, index: number, isTrial: boolean) => {
		const isCulprit = request.fingerprint.startsWith(CULPRIT);
		const usual = Math.ceil(-Math.log(1 - random()) * SERVICE_MILLISECONDS);
		upstreams[index]!.running.push({request, isTrial, endsAt: now + (isCulprit ? CRASH_AFTER_MILLISECONDS : usual)});
	};

	const retry = (request: Request) => {
		if (request.tries < MAX_TRIES) {
			plan(RETRY_MILLISECONDS, () => {
				send({...request, tries: request.tries + 1});
			});
		} else if (!request.fingerprint.startsWith(CULPRIT)) {
			counts.innocentRefused++;
		}
	};

	const send = (request: Request) => {
		const free = upstreams.map((_upstream, index) => index)
			.filter(index => upstreams[index]!.upAt <= now && upstreams[index]!.running.length < SLOTS);
		const index = free[utils.pickIndex(random, free.length)];
		if (index === undefined) {
			retry(request);
			return;
		}

		const standing = known.get(request.fingerprint);
		const isInnocent = !request.fingerprint.startsWith(CULPRIT);
		if (standing === 'quarantined') {
			counts.innocentRefused += isInnocent ? 1 : 0;
			return;
		}

		if (standing !== 'suspect' || policy === 'two-crashes') {
			begin(request, index, false);
			return;
		}

		const result = apply('request-trial', {
			service: 's', fingerprint: request.fingerprint, upstream: `u${index}`, attempt: request.attempt, budgetMilliseconds: 1000,
		});
		counts.innocentTrials += isInnocent && request.tries === 0 ? 1 : 0;
		if (result.kind === 'granted' || result.kind === 'clear') {
			begin(request, index, result.kind === 'granted');
		} else {
			retry(request);
		}
	};

	const start = (fingerprint: string, host: number) => {
		send({
			fingerprint, host, attempt: `a${counts.attempts++}`, tries: 0,
		});
	};

	const crash = (index: number) => {
		const upstream = upstreams[index]!;
		const {running, life} = upstream;
		upstream.running = [];
		upstream.life++;
		upstream.upAt = now + RESTART_MILLISECONDS;
		plan(COMMIT_MILLISECONDS, () => {
			for (let host = 0; host < HOSTS; host++) {
				const own = running.filter(({request}) => request.host === host).map(({request}) => request.fingerprint);
				if (policy === 'none' || own.length === 0) {
					continue;
				}

				const inFlight = own.map(fingerprint => ({
					fingerprint, hasCompleted: policy === 'trials' && completed[host]!.has(fingerprint),
				}));
				apply('report-crash', {
					service: 's', upstream: `u${index}`, incarnation: String(life), inFlight,
				});
			}

			for (const {request} of running) {
				plan(HOLD_MILLISECONDS, () => {
					failed(request);
				});
			}
		});
	};

	const failed = (request: Request) => {
		if (!request.fingerprint.startsWith(CULPRIT)) {
			// An idempotent request is sent again by its host.
			send({...request, attempt: `a${counts.attempts++}`});
			return;
		}

		// The callers give up some time.
		const hosts = (lost.get(request.fingerprint) ?? 0) < CULPRIT_ROUNDS ? HOSTS : 0;
		for (let host = 0; host < hosts; host++) {
			start(request.fingerprint, host);
		}
	};

	const finish = (index: number) => {
		const upstream = upstreams[index]!;
		const culprit = upstream.running.find(({request, endsAt}) => endsAt <= now && request.fingerprint.startsWith(CULPRIT));
		if (culprit !== undefined) {
			const {fingerprint} = culprit.request;
			lost.set(fingerprint, (lost.get(fingerprint) ?? 0) + 1);
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
	for (; now < MILLISECONDS; now++) {
		for (let index = 0; index < UPSTREAMS; index++) {
			finish(index);
		}

		for (const action of agenda.get(now) ?? []) {
			action();
		}

		agenda.delete(now);
		if (random() < REQUESTS_PER_MILLISECOND) {
			counts.innocentRequests++;
			const isPopular = random() < POPULAR_PART;
			const name = isPopular ? `popular ${utils.pickIndex(random, POPULAR)}` : `once ${now}`;
			start(name, utils.pickIndex(random, HOSTS));
		}

		if (now % CULPRIT_EVERY_MILLISECONDS === 5000) {
			start(`${CULPRIT} ${now}`, utils.pickIndex(random, HOSTS));
		}

		const fallen = now % DOMAIN_EVERY_MILLISECONDS === DOMAIN_EVERY_MILLISECONDS / 2 ? DOMAIN_UPSTREAMS : 0;
		for (let index = 0; index < fallen; index++) {
			crash(index);
		}

		if (random() < 1 / CHANCE_CRASH_EVERY_MILLISECONDS) {
			crash(utils.pickIndex(random, UPSTREAMS));
		}
	}

	const losses = lost.values().toArray();
	return {
		policy,
		crashingRequests: losses.length,
		mostLost: Math.max(...losses),
		meanLost: losses.reduce((sum, count) => sum + count, 0) / losses.length,
		wrongQuarantines: new Set(wrong).size,
		innocentRequests: counts.innocentRequests,
		innocentTrials: counts.innocentTrials,
		innocentRefused: counts.innocentRefused,
	};
}

/**
Runs the bench and checks its bounds.
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
