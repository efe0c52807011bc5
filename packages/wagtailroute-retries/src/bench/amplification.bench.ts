/**
Load amplification and success rate of retries, by the share of sends that fail. Simulated time, seeded.
*/
import * as utils from 'wagtailroute-utils';
import * as retries from '../index.ts';

/**
One row: a policy at a failure rate.
*/
export type AmplificationRow = {
	readonly policy: 'none' | 'three-sends' | 'budget' | 'budget-two-tiers' | 'three-sends-two-tiers';
	readonly failureRate: number;
	/**
	Sends to the backend servers over requests of callers.
	*/
	readonly amplification: number;
	readonly successRate: number;
};

type Policy = AmplificationRow['policy'];

const REQUESTS = 100_000;
const REQUESTS_PER_MILLISECOND = 1;
const RETRY_RATIO = 0.1;
const FAILURE_RATES = [0.01, 0.1, 0.5, 1];
const SEED = 11;
// A retry ratio of a tenth, and what time adds for a service with few requests.
const MAX_AMPLIFICATION = 1.101;

/**
Runs every policy at every failure rate.
*/
export function benchAmplification(): AmplificationRow[] {
	const policies: readonly Policy[] = ['none', 'three-sends', 'budget', 'three-sends-two-tiers', 'budget-two-tiers'];
	return FAILURE_RATES.flatMap(failureRate => policies.map(policy => measure(policy, failureRate)));
}

type Send = (now: number, isResend: boolean) => boolean;

function measure(policy: Policy, failureRate: number): AmplificationRow {
	const random = utils.createRandom(SEED);
	let sends = 0;
	let successes = 0;
	const backend: Send = () => {
		sends++;
		return random() >= failureRate;
	};

	const send = TIERS[policy](backend, random);
	for (let request = 0; request < REQUESTS; request++) {
		successes += send(request / REQUESTS_PER_MILLISECOND, false) ? 1 : 0;
	}

	return {
		policy, failureRate, amplification: sends / REQUESTS, successRate: successes / REQUESTS,
	};
}

const TIERS: Readonly<Record<Policy, (next: Send, random: utils.Random) => Send>> = {
	none: next => next,
	'three-sends': createPlainTier,
	budget: createBudgetTier,
	'three-sends-two-tiers': next => createPlainTier(createPlainTier(next)),
	'budget-two-tiers': (next, random) => createBudgetTier(createBudgetTier(next, random), random),
};

function createPlainTier(next: Send): Send {
	return now => next(now, false) || next(now, true) || next(now, true);
}

function createBudgetTier(next: Send, random: utils.Random): Send {
	let budget = retries.createRetryBudget(0);
	return (now, isResend) => {
		budget = isResend ? budget : retries.countRequest(budget, {retryRatio: RETRY_RATIO, now});
		for (let attempts = 1; ; attempts++) {
			if (next(now, isResend || attempts > 1)) {
				return true;
			}

			const decision = retries.decideRetry({
				attemptsMost: retries.MAX_ATTEMPTS,
				requestClass: 'read',
				isKeyed: false,
				failure: 'upstream-lost',
				sent: 'some',
				attempts,
				earlierOutcome: 'not-run',
				remainingMilliseconds: 1000,
				usualMilliseconds: 10,
				hasBudget: retries.hasRetry(budget),
				isResendOfTier: isResend,
				canSendAgain: true,
			}, random);
			if (decision.kind === 'give-up') {
				return false;
			}

			budget = retries.takeRetry(budget);
		}
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
	const rows = benchAmplification();
	const getRow = (policy: Policy, failureRate: number) =>
		rows.find(row => row.policy === policy && row.failureRate === failureRate)!;
	const chosen = rows.filter(row => row.policy === 'budget');
	const isHelping = getRow('budget', 0.1).successRate > 1 - (0.2 * (1 - getRow('none', 0.1).successRate));
	return {
		title: 'Load amplification and success of retries',
		rows: rows.map(row => ({
			policy: row.policy,
			'failing part': row.failureRate,
			'sends a request': Number(row.amplification.toFixed(3)),
			'requests answered': Number(row.successRate.toFixed(4)),
		})),
		broken: [
			...chosen.filter(row => row.amplification > MAX_AMPLIFICATION)
				.map(row => `${row.amplification.toFixed(4)} sends a request at ${row.failureRate} failing, the bound is ${MAX_AMPLIFICATION}.`),
			...isHelping ? [] : ['Retries at 0.1 failing save less than four fifths of the failures.'],
			...getRow('three-sends', 1).amplification > 2 ? [] : ['The policy without a budget amplifies no more: the load does not show the fault.'],
		],
	};
}
