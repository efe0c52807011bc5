/**
Load amplification and success rate of retry policies by the rate of failing attempts. Deterministic: seeded, in simulated
time.
*/
import * as utils from 'wagtailroute-utils';
import * as retries from '../index.ts';

/**
Result of one policy at one failure rate.
*/
export type AmplificationRow = {
	readonly policy: 'none' | 'three-sends' | 'budget' | 'budget-two-tiers' | 'three-sends-two-tiers';
	readonly failureRate: number;
	/**
	Attempts at the backend servers divided by requests of callers.
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
// 1 + the retry ratio, with a margin for the retries that are earned by time.
const MAX_AMPLIFICATION = 1.101;

/**
Measures every policy at every failure rate.
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
	'three-sends': createThreeSendsTier,
	budget: createBudgetTier,
	'three-sends-two-tiers': next => createThreeSendsTier(createThreeSendsTier(next)),
	'budget-two-tiers': (next, random) => createBudgetTier(createBudgetTier(next, random), random),
};

function createThreeSendsTier(next: Send): Send {
	return now => next(now, false) || next(now, true) || next(now, true);
}

function createBudgetTier(next: Send, random: utils.Random): Send {
	let budget = retries.createRetryBudget(0);
	return (now, isResend) => {
		budget = isResend ? budget : retries.creditRequest(budget, {retryRatio: RETRY_RATIO, now});
		for (let attempts = 1; ; attempts++) {
			if (next(now, isResend || attempts > 1)) {
				return true;
			}

			const decision = retries.decideRetry({
				maxAttempts: retries.MAX_ATTEMPTS,
				requestClass: 'read',
				isKeyed: false,
				failure: 'upstream-lost',
				sent: 'some',
				attempts,
				earlierOutcome: 'not-run',
				remainingMilliseconds: 1000,
				usualMilliseconds: 10,
				hasBudget: retries.hasRetryToken(budget),
				isTierRetry: isResend,
				canResend: true,
			}, random);
			if (decision.kind === 'give-up') {
				return false;
			}

			budget = retries.spendRetryToken(budget);
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
	const budgetRows = rows.filter(row => row.policy === 'budget');
	// Retries must save four fifths of the failures when a tenth of the attempts fail.
	const isEffective = getRow('budget', 0.1).successRate > 1 - (0.2 * (1 - getRow('none', 0.1).successRate));
	return {
		title: 'Load amplification and success of retries',
		rows: rows.map(row => ({
			policy: row.policy,
			'failing part': row.failureRate,
			'sends a request': Number(row.amplification.toFixed(3)),
			'requests answered': Number(row.successRate.toFixed(4)),
		})),
		broken: [
			...budgetRows.filter(row => row.amplification > MAX_AMPLIFICATION)
				.map(row => `The policy with a budget makes ${row.amplification.toFixed(4)} attempts per request at a failure rate of ${row.failureRate}, the bound is ${MAX_AMPLIFICATION}.`),
			...isEffective ? [] : ['Retries save less than four fifths of the failures at a failure rate of 0.1.'],
			...getRow('three-sends', 1).amplification > 2 ? [] : ['Three attempts without a budget amplify the load by no more than 2: the bench does not reproduce the retry storm.'],
		],
	};
}
