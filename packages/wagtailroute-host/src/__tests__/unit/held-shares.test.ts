/**
Shares of a fleet-wide limit as hosts hold them, against the records themselves over a network that loses and delays.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as records from 'wagtailroute-records';
import * as utils from 'wagtailroute-utils';
import * as heldShares from '../../held-shares.ts';

const SEED = 61;
const HOSTS = 4;
const LIMIT = 40;
const STEPS = 400;
const STEP_MILLISECONDS = 100;
const SHARED: heldShares.SharedLimit = {limitName: 'concurrency', limit: LIMIT, carriers: HOSTS};

type FakeHost = {
	held: heldShares.HeldShare;
	inUse: number;
	demand: number;
	/**
	Steps for which the host stays cut off from the records.
	*/
	cut: number;
	isAsking: boolean;
};

/**
Plays hosts whose demand changes and whose questions and answers are lost or late. Returns the most that was in use or
could be used at any step, and the mean.
*/
function play(seed: number): {readonly most: number; readonly mean: number} {
	const random = utils.createRandom(seed);
	const tables = records.createRecords();
	const scheduledActions = new Map<number, Array<() => void>>();
	const hosts: FakeHost[] = Array.from({length: HOSTS}, () => ({
		held: heldShares.NO_SHARE, inUse: 0, demand: 0, cut: 0, isAsking: false,
	}));
	let most = 0;
	let sum = 0;
	tables.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'new'}}});
	const renew = (host: FakeHost, name: string, step: number) => {
		const now = step * STEP_MILLISECONDS;
		const usage = {inUse: host.inUse, demand: host.demand};
		if (host.isAsking || !heldShares.isDue(host.held, SHARED, {usage, now})) {
			return;
		}

		const created = heldShares.createRequest(host.held, SHARED, {usage, now});
		host.held = created.held;
		host.isAsking = true;
		const isAnswerLost = host.cut > 0 || random() < 0.1;
		const isQuestionLost = host.cut > 0 && random() < 0.5;
		const delay = 1 + utils.pickIndex(random, 5);
		scheduledActions.set(step + delay, [...scheduledActions.get(step + delay) ?? [], () => {
			host.isAsking = false;
			const payload = {
				requests: [{
					service: 's', limitName: 'concurrency' as const, host: name, ...created.request,
				}],
			};
			const stampedAt = (step + delay) * STEP_MILLISECONDS;
			const answer = isQuestionLost ? undefined : tables.apply({name: 'renew-shares', stampedAt, payload}).result.shares[0];
			const share = isAnswerLost || answer === undefined || 'kind' in answer ? undefined : answer;
			host.held = heldShares.applyAnswer({...host.held, isUnanswered: false}, share, {requestedAt: now, inUse: host.inUse});
		}]);
	};

	for (let step = 0; step < STEPS; step++) {
		for (const action of scheduledActions.get(step) ?? []) {
			action();
		}

		for (const [index, host] of hosts.entries()) {
			host.cut = host.cut > 0 ? host.cut - 1 : (random() < 0.002 ? 200 : 0);
			host.demand = random() < 0.05 ? utils.pickIndex(random, LIMIT) : host.demand;
			const amount = heldShares.getAmount({...host.held, isUnanswered: false}, SHARED, step * STEP_MILLISECONDS);
			// Requests in flight end within a second.
			const left = Math.max(0, host.inUse - Math.ceil(LIMIT / 10));
			host.inUse = Math.max(left, Math.min(host.demand, amount));
			renew(host, `h${index}`, step);
		}

		const used = hosts.reduce((total, host) =>
			total + Math.max(host.inUse, heldShares.getAmount({...host.held, isUnanswered: false}, SHARED, step * STEP_MILLISECONDS)), 0);
		most = Math.max(most, used);
		sum += used;
	}

	return {most, mean: sum / STEPS};
}

test('what all hosts use or could use stays within the limit', t => {
	// Symptom: a backend server that bears 40 requests gets 50. Sequence: one host's smaller share is lost on the way, the
	// rest is given to another. Cause: a share counted as given back before its host has come down to it.
	let mean = 0;
	let runs = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1}), seed => {
		const played = play(seed);
		mean += played.mean;
		runs++;
		return played.most <= LIMIT;
	}), {seed: SEED, numRuns: 300});
	t.log(`seed ${SEED}: ${runs} runs, ${(mean / runs / LIMIT).toFixed(3)} of the limit usable on average`);
	t.true(mean / runs > LIMIT * 0.4);
});

test('a host uses nothing before its first share, and its safe part when the first question fails', t => {
	t.is(heldShares.getAmount(heldShares.NO_SHARE, SHARED, 0), 0);
	const failed = heldShares.applyAnswer(heldShares.NO_SHARE, undefined, {requestedAt: 0, inUse: 0});
	t.is(heldShares.getAmount(failed, SHARED, 0), 2);
});

test('a share falls back to its safe part when its lease ends, measured from before it was asked for', t => {
	const held = heldShares.applyAnswer(heldShares.NO_SHARE, {sequence: 1, amount: 20, safe: 2}, {requestedAt: 100, inUse: 0});
	t.is(heldShares.getAmount(held, SHARED, 100 + records.SHARE_LEASE_MILLISECONDS - 1), 20);
	t.is(heldShares.getAmount(held, SHARED, 100 + records.SHARE_LEASE_MILLISECONDS), 2);
});

test('a host with more in flight than its new share still holds the grant before it', t => {
	const first = heldShares.applyAnswer(heldShares.NO_SHARE, {sequence: 3, amount: 20, safe: 2}, {requestedAt: 0, inUse: 0});
	const second = heldShares.applyAnswer(first, {sequence: 5, amount: 10, safe: 2}, {requestedAt: 50, inUse: 15});
	t.is(heldShares.createRequest(second, SHARED, {usage: {inUse: 15, demand: 15}, now: 60}).request.holds, 3);
	t.is(heldShares.createRequest(second, SHARED, {usage: {inUse: 10, demand: 15}, now: 60}).request.holds, 5);
});
