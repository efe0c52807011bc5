/**
Tables of cases for retries, and a differential run against a naive rule.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as retries from '../../index.ts';

const SEED = 51;
const SEND: retries.FailedSend = {
	attemptsMost: retries.MAX_ATTEMPTS,
	requestClass: 'read',
	isKeyed: false,
	failure: 'upstream-lost',
	sent: 'some',
	attempts: 1,
	earlierOutcome: 'not-run',
	remainingMilliseconds: 1000,
	usualMilliseconds: 10,
	hasBudget: true,
	isResendOfTier: false,
	canSendAgain: true,
};

const CASES: ReadonlyArray<{
	readonly title: string;
	readonly send: Partial<retries.FailedSend>;
	readonly expected: string;
	readonly outcome: string;
}> = [
	{
		title: 'a read is sent again after a reset', send: {}, expected: 'retry', outcome: 'unknown',
	},
	{
		title: 'an idempotent write too', send: {requestClass: 'idempotent'}, expected: 'retry', outcome: 'unknown',
	},
	{
		title: 'a non-idempotent request is not, once a byte was sent', send: {requestClass: 'non-idempotent'}, expected: 'may-have-run', outcome: 'unknown',
	},
	{
		title: 'nor with a key', send: {requestClass: 'non-idempotent', isKeyed: true}, expected: 'may-have-run', outcome: 'unknown',
	},
	{
		title: 'nor when it is not known whether a byte was sent', send: {requestClass: 'non-idempotent', isKeyed: true, sent: 'unknown'}, expected: 'may-have-run', outcome: 'unknown',
	},
	{
		title: 'a refused connection is tried elsewhere, without a key too', send: {requestClass: 'non-idempotent', failure: 'connect-refused', sent: 'none'}, expected: 'retry', outcome: 'not-run',
	},
	{
		title: 'a shed keyed request is sent elsewhere', send: {requestClass: 'non-idempotent', isKeyed: true, failure: 'upstream-shed'}, expected: 'retry', outcome: 'not-run',
	},
	{
		title: 'a shed request without a key is left to its caller', send: {requestClass: 'non-idempotent', failure: 'upstream-shed'}, expected: 'may-have-run', outcome: 'not-run',
	},
	{
		title: 'an earlier send that may have run stays unknown', send: {
			failure: 'connect-refused', sent: 'none', earlierOutcome: 'unknown', hasBudget: false,
		}, expected: 'budget', outcome: 'unknown',
	},
	{
		title: 'a request that came as a resend is not retried', send: {isResendOfTier: true}, expected: 'tier-retries', outcome: 'unknown',
	},
	{
		title: 'no retry without budget', send: {hasBudget: false}, expected: 'budget', outcome: 'unknown',
	},
	{
		title: 'no retry that cannot be answered in time', send: {remainingMilliseconds: 9}, expected: 'deadline', outcome: 'unknown',
	},
	{
		title: 'sends are bounded', send: {attempts: 3}, expected: 'attempts-used', outcome: 'unknown',
	},
	{
		title: 'a body that is gone cannot be sent', send: {canSendAgain: false}, expected: 'cannot-send-again', outcome: 'unknown',
	},
	{
		title: 'a body that its caller cut off is not sent anew', send: {failure: 'body-cut-off'}, expected: 'not-retriable', outcome: 'unknown',
	},
	{
		title: 'a key that is running elsewhere is unknown though nothing was sent', send: {failure: 'idempotency-key-running', sent: 'none'}, expected: 'not-retriable', outcome: 'unknown',
	},
];

for (const {title, send, expected, outcome} of CASES) {
	test(title, t => {
		const decision = retries.decideRetry({...SEND, ...send}, () => 0.5);
		t.is(decision.kind === 'retry' ? 'retry' : decision.reason, expected);
		t.is(decision.outcome, outcome as typeof decision.outcome);
	});
}

const KINDS = Object.keys(retries.REQUEST_FAILURES) as retries.RequestFailureKind[];
// What is told of another execution of the same key, whatever was sent now.
const STORED_OUTCOMES: ReadonlyMap<retries.RequestFailureKind, retries.FailedSend['earlierOutcome']> = new Map([
	['idempotency-key-running', 'unknown'],
	['idempotency-key-outcome-unknown', 'unknown'],
	['idempotency-answer-not-kept', 'ran'],
]);
const UNSENT_STAGES: ReadonlySet<retries.RequestStage> = new Set(['receiving', 'claiming', 'queueing', 'connecting']);

for (const kind of KINDS) {
	test(`${kind}: not-run only where nothing can have run`, t => {
		const {stage, outcome, status, proxyStatus} = retries.getRequestFailure(kind);
		const isProven = UNSENT_STAGES.has(stage) || kind === 'upstream-shed';
		const stored = STORED_OUTCOMES.get(kind);
		t.true(outcome === 'unknown' || outcome === stored || (outcome === 'not-run' && isProven));
		t.is(retries.getSendOutcome(kind, 'some'), stored ?? (kind === 'upstream-shed' ? 'not-run' : 'unknown'));
		t.is(retries.getSendOutcome(kind, 'unknown'), stored ?? (kind === 'upstream-shed' ? 'not-run' : 'unknown'));
		t.is(retries.getSendOutcome(kind, 'none'), stored ?? 'not-run');
		t.true(status >= 400 && status < 600);
		t.regex(proxyStatus, /^[a-z]+(?:_[a-z]+)+$/v);
	});
}

// Symptom: a booking runs twice through the fleet's own retries, or a caller is told `not-run` of one that ran.
// Sequence: sends fail at any point, in any order, each having run or not as far as the point allows.
// Cause: a retry after a byte was sent. The naive rule retries whatever failed, and shows that the runs reach the fault.
test('no sequence of failures runs a non-idempotent request twice', t => {
	const counts = {doubled: 0, naive: 0, lies: 0};
	const arbitrary = fastCheck.tuple(fastCheck.integer({min: 1}), fastCheck.boolean());
	fastCheck.assert(fastCheck.property(arbitrary, ([seed, isKeyed]) => {
		const decided = play(seed, isKeyed, false);
		counts.doubled += decided.runs > 1 ? 1 : 0;
		counts.lies += decided.outcome === 'not-run' && decided.runs > 0 ? 1 : 0;
		counts.naive += play(seed, isKeyed, true).runs > 1 ? 1 : 0;
	}), {seed: SEED, numRuns: 10_000});
	t.log(`seed ${SEED}: 10000 runs`, counts);
	t.deepEqual({...counts, naive: 0}, {doubled: 0, naive: 0, lies: 0});
	t.true(counts.naive > 100);
});

function play(seed: number, isKeyed: boolean, isNaive: boolean): {runs: number; outcome: string} {
	const random = utils.createRandom(seed);
	let runs = 0;
	let outcome: retries.FailedSend['earlierOutcome'] = 'not-run';
	for (let attempts = 1; attempts <= 3; attempts++) {
		const failure = KINDS[utils.pickIndex(random, KINDS.length)]!;
		const {stage} = retries.getRequestFailure(failure);
		const isUnsent = UNSENT_STAGES.has(stage);
		const sent = isUnsent ? 'none' : 'some';
		const mayRun = !isUnsent && failure !== 'upstream-shed';
		runs += mayRun && random() < 0.5 ? 1 : 0;
		const decision = retries.decideRetry({
			...SEND, requestClass: 'non-idempotent', isKeyed, failure, sent, attempts, earlierOutcome: outcome,
		}, random);
		outcome = decision.outcome;
		if (!isNaive && decision.kind === 'give-up') {
			break;
		}
	}

	return {runs, outcome};
}

test('the budget follows requests, and time where there are few', t => {
	let budget = retries.createRetryBudget(0);
	const count = (now: number) => {
		budget = retries.countRequest(budget, {retryRatio: 0.25, now});
	};

	for (const now of [1, 2, 3]) {
		count(now);
		t.false(retries.hasRetry(budget));
	}

	count(4);
	t.true(retries.hasRetry(budget));
	budget = retries.takeRetry(budget);
	t.false(retries.hasRetry(budget));
	count(10_004);
	t.true(retries.hasRetry(budget), 'ten quiet seconds earn one');
	t.false(retries.hasRetry(retries.countRequest(retries.createRetryBudget(0), {retryRatio: 0, now: 1_000_000})));
});

test('backoff and advice are bounded and spread', t => {
	const random = utils.createRandom(3);
	for (let attempts = 1; attempts < 20; attempts++) {
		t.true(retries.getBackoff(attempts, random) <= Math.min(250, 10 * (2 ** (attempts - 1))));
		const advice = retries.getRetryAfterSeconds(attempts * 1700, random);
		t.true(advice >= 1 && advice <= 31 && Number.isSafeInteger(advice));
	}
});

test('reads are hedged after the 95th percentile, nothing else is', t => {
	let histogram = retries.createLatencyHistogram();
	t.is(retries.getLatencyQuantile(histogram, 0.95), undefined);
	for (let sample = 1; sample <= 900; sample++) {
		histogram = retries.recordLatency(histogram, sample % 100 < 97 ? 10 : 500);
	}

	const ask = {
		requestClass: 'read', histogram, remainingMilliseconds: 1000, isResendOfTier: false,
	} as const;
	const delay = retries.getHedgeDelay(ask) ?? 0;
	t.true(delay >= 10 && delay < 13, String(delay));
	t.is(retries.getHedgeDelay({...ask, requestClass: 'idempotent'}), undefined);
	t.is(retries.getHedgeDelay({...ask, remainingMilliseconds: 5}), undefined);
	t.is(retries.getHedgeDelay({...ask, isResendOfTier: true}), undefined);
});
