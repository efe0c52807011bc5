/**
Tests of retry decisions, failure outcomes, the retry budget and hedging: tables of cases, and a property test with a naive
retry rule as a comparison.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as retries from '../../index.ts';

const SEED = 51;
const ATTEMPT: retries.FailedAttempt = {
	maxAttempts: retries.MAX_ATTEMPTS,
	requestClass: 'read',
	isKeyed: false,
	failure: 'upstream-lost',
	sent: 'some',
	attempts: 1,
	earlierOutcome: 'not-run',
	remainingMilliseconds: 1000,
	usualMilliseconds: 10,
	hasBudget: true,
	isTierRetry: false,
	canResend: true,
};

const CASES: ReadonlyArray<{
	readonly title: string;
	readonly attempt: Partial<retries.FailedAttempt>;
	readonly expected: string;
	readonly outcome: string;
}> = [
	{
		title: 'a read is retried after the upstream is lost', attempt: {}, expected: 'retry', outcome: 'unknown',
	},
	{
		title: 'an idempotent write is retried after the upstream is lost', attempt: {requestClass: 'idempotent'}, expected: 'retry', outcome: 'unknown',
	},
	{
		title: 'a non-idempotent request is not retried once a byte was sent', attempt: {requestClass: 'non-idempotent'}, expected: 'may-have-run', outcome: 'unknown',
	},
	{
		title: 'a non-idempotent request with a key is not retried once a byte was sent', attempt: {requestClass: 'non-idempotent', isKeyed: true}, expected: 'may-have-run', outcome: 'unknown',
	},
	{
		title: 'a non-idempotent request with a key is not retried when it is unknown whether a byte was sent',
		attempt: {requestClass: 'non-idempotent', isKeyed: true, sent: 'unknown'},
		expected: 'may-have-run',
		outcome: 'unknown',
	},
	{
		title: 'a non-idempotent request without a key is retried after a refused connection',
		attempt: {requestClass: 'non-idempotent', failure: 'connect-refused', sent: 'none'},
		expected: 'retry',
		outcome: 'not-run',
	},
	{
		title: 'a shed request with a key is retried', attempt: {requestClass: 'non-idempotent', isKeyed: true, failure: 'upstream-shed'}, expected: 'retry', outcome: 'not-run',
	},
	{
		title: 'a shed non-idempotent request without a key is not retried', attempt: {requestClass: 'non-idempotent', failure: 'upstream-shed'}, expected: 'may-have-run', outcome: 'not-run',
	},
	{
		title: 'the outcome stays unknown after an earlier attempt that may have run', attempt: {
			failure: 'connect-refused', sent: 'none', earlierOutcome: 'unknown', hasBudget: false,
		}, expected: 'budget', outcome: 'unknown',
	},
	{
		title: 'a request that is a retry of another tier is not retried', attempt: {isTierRetry: true}, expected: 'tier-retries', outcome: 'unknown',
	},
	{
		title: 'a request is not retried without budget', attempt: {hasBudget: false}, expected: 'budget', outcome: 'unknown',
	},
	{
		title: 'a request is not retried when the deadline is too near for an answer', attempt: {remainingMilliseconds: 9}, expected: 'deadline', outcome: 'unknown',
	},
	{
		title: 'the number of attempts is limited', attempt: {attempts: 3}, expected: 'attempts-used', outcome: 'unknown',
	},
	{
		title: 'a request whose body is no longer buffered is not retried', attempt: {canResend: false}, expected: 'cannot-send-again', outcome: 'unknown',
	},
	{
		title: 'a request whose body was cut off by the caller is not retried', attempt: {failure: 'body-cut-off'}, expected: 'not-retriable', outcome: 'unknown',
	},
	{
		title: 'the outcome is unknown when a request with the same key is running, although nothing was sent',
		attempt: {failure: 'idempotency-key-running', sent: 'none'},
		expected: 'not-retriable',
		outcome: 'unknown',
	},
];

for (const {title, attempt, expected, outcome} of CASES) {
	test(title, t => {
		const decision = retries.decideRetry({...ATTEMPT, ...attempt}, () => 0.5);
		t.is(decision.kind === 'retry' ? 'retry' : decision.reason, expected);
		t.is(decision.outcome, outcome as typeof decision.outcome);
	});
}

const KINDS = Object.keys(retries.REQUEST_FAILURES) as retries.RequestFailureKind[];
// Outcomes of another execution with the same key, which hold whatever was sent now.
const STORED_OUTCOMES: ReadonlyMap<retries.RequestFailureKind, retries.FailedAttempt['earlierOutcome']> = new Map([
	['idempotency-key-running', 'unknown'],
	['idempotency-key-outcome-unknown', 'unknown'],
	['idempotency-answer-not-kept', 'ran'],
]);
const UNSENT_STAGES: ReadonlySet<retries.RequestStage> = new Set(['receiving', 'claiming', 'queueing', 'connecting']);

for (const kind of KINDS) {
	test(`${kind}: the outcome is not-run only when nothing can have run`, t => {
		const {stage, outcome, status, proxyStatus} = retries.getFailureDefinition(kind);
		const isProven = UNSENT_STAGES.has(stage) || kind === 'upstream-shed';
		const stored = STORED_OUTCOMES.get(kind);
		t.true(outcome === 'unknown' || outcome === stored || (outcome === 'not-run' && isProven));
		t.is(retries.getAttemptOutcome(kind, 'some'), stored ?? (kind === 'upstream-shed' ? 'not-run' : 'unknown'));
		t.is(retries.getAttemptOutcome(kind, 'unknown'), stored ?? (kind === 'upstream-shed' ? 'not-run' : 'unknown'));
		t.is(retries.getAttemptOutcome(kind, 'none'), stored ?? 'not-run');
		t.true(status >= 400 && status < 600);
		t.regex(proxyStatus, /^[a-z]+(?:_[a-z]+)+$/v);
	});
}

// Guards against a non-idempotent request that runs twice through a retry after a byte was sent, or whose caller receives
// `not-run` although it ran. Attempts fail with random kinds and run at random where the kind allows it. The naive rule
// retries every failure, which shows that the random sequences reach the fault.
test('no sequence of failures runs a non-idempotent request twice', t => {
	const counts = {doubled: 0, naive: 0, lies: 0};
	const arbitrary = fastCheck.tuple(fastCheck.integer({min: 1}), fastCheck.boolean());
	fastCheck.assert(fastCheck.property(arbitrary, ([seed, isKeyed]) => {
		const decided = simulate(seed, isKeyed, false);
		counts.doubled += decided.runs > 1 ? 1 : 0;
		counts.lies += decided.outcome === 'not-run' && decided.runs > 0 ? 1 : 0;
		counts.naive += simulate(seed, isKeyed, true).runs > 1 ? 1 : 0;
	}), {seed: SEED, numRuns: 10_000});
	t.log(`seed ${SEED}: 10000 runs`, counts);
	t.deepEqual({...counts, naive: 0}, {doubled: 0, naive: 0, lies: 0});
	t.true(counts.naive > 100);
});

function simulate(seed: number, isKeyed: boolean, isNaive: boolean): {runs: number; outcome: string} {
	const random = utils.createRandom(seed);
	let runs = 0;
	let outcome: retries.FailedAttempt['earlierOutcome'] = 'not-run';
	for (let attempts = 1; attempts <= 3; attempts++) {
		const failure = KINDS[utils.pickIndex(random, KINDS.length)]!;
		const {stage} = retries.getFailureDefinition(failure);
		const isUnsent = UNSENT_STAGES.has(stage);
		const sent = isUnsent ? 'none' : 'some';
		const mayRun = !isUnsent && failure !== 'upstream-shed';
		runs += mayRun && random() < 0.5 ? 1 : 0;
		const decision = retries.decideRetry({
			...ATTEMPT, requestClass: 'non-idempotent', isKeyed, failure, sent, attempts, earlierOutcome: outcome,
		}, random);
		outcome = decision.outcome;
		if (!isNaive && decision.kind === 'give-up') {
			break;
		}
	}

	return {runs, outcome};
}

test('the budget is earned by requests, and by time when there are few', t => {
	let budget = retries.createRetryBudget(0);
	const count = (now: number) => {
		budget = retries.creditRequest(budget, {retryRatio: 0.25, now});
	};

	for (const now of [1, 2, 3]) {
		count(now);
		t.false(retries.hasRetryToken(budget));
	}

	count(4);
	t.true(retries.hasRetryToken(budget));
	budget = retries.spendRetryToken(budget);
	t.false(retries.hasRetryToken(budget));
	count(10_004);
	t.true(retries.hasRetryToken(budget), 'ten seconds without requests earn one retry');
	t.false(retries.hasRetryToken(retries.creditRequest(retries.createRetryBudget(0), {retryRatio: 0, now: 1_000_000})));
});

test('backoff and Retry-After are bounded', t => {
	const random = utils.createRandom(3);
	for (let attempts = 1; attempts < 20; attempts++) {
		t.true(retries.getBackoff(attempts, random) <= Math.min(250, 10 * (2 ** (attempts - 1))));
		const advice = retries.getRetryAfterSeconds(attempts * 1700, random);
		t.true(advice >= 1 && advice <= 31 && Number.isSafeInteger(advice));
	}
});

test('only reads are hedged, after the 95th percentile of the latency', t => {
	let histogram = retries.createLatencyHistogram();
	t.is(retries.getLatencyQuantile(histogram, 0.95), undefined);
	for (let sample = 1; sample <= 900; sample++) {
		histogram = retries.recordLatency(histogram, sample % 100 < 97 ? 10 : 500);
	}

	const hedge = {
		requestClass: 'read', histogram, remainingMilliseconds: 1000, isTierRetry: false,
	} as const;
	const delay = retries.getHedgeDelay(hedge) ?? 0;
	t.true(delay >= 10 && delay < 13, String(delay));
	t.is(retries.getHedgeDelay({...hedge, requestClass: 'idempotent'}), undefined);
	t.is(retries.getHedgeDelay({...hedge, remainingMilliseconds: 5}), undefined);
	t.is(retries.getHedgeDelay({...hedge, isTierRetry: true}), undefined);
});
