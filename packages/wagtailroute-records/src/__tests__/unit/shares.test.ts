/**
Shares of a limit, and the sum of the amounts that hosts may use.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as records from '../../index.ts';

const SEED = 44;
const RUNS = 3000;
const HOSTS = 6;

type Send = (host: string, request: Partial<records.ShareRequest>, at?: number) => records.Share;

function open(limitName: records.LimitName = 'concurrency', kind: 'new' | 'lost' = 'new'): Send {
	const group = records.createRecords();
	group.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind}}});
	return (host, request, at = 0) => {
		const fullRequest = {
			service: 's', limitName, host, holds: 0, demand: 0, inUse: 0, limit: 100, carriers: 5, ...request,
		};
		const {result} = group.apply({name: 'renew-shares', stampedAt: at, payload: {requests: [fullRequest]}});
		const [share] = result.shares;
		utils.invariant(share !== undefined && 'amount' in share, 'the service is held');
		return share;
	};
}

test('a single host gets all but the safe parts of the others', t => {
	const send = open();
	t.deepEqual(send('h1', {demand: 1000}), {sequence: 1, amount: 80, safe: 5});
	t.deepEqual(send('h2', {demand: 1000}), {sequence: 2, amount: 5, safe: 5}, 'until the first host returns its larger share');
	t.deepEqual(send('h1', {demand: 1000, holds: 1}), {sequence: 3, amount: 42, safe: 5});
	t.is(send('h2', {demand: 1000, holds: 2}).amount, 5, 'the answer to h1 may be lost');
	t.is(send('h1', {demand: 1000, holds: 3}).amount, 42);
	t.is(send('h2', {demand: 1000, holds: 4}).amount, 42);
});

test('a share does not shrink below the requests in flight', t => {
	const send = open();
	const {sequence} = send('h1', {demand: 80});
	send('h2', {demand: 80});
	t.is(send('h1', {demand: 80, holds: sequence, inUse: 70}).amount, 70);
});

test('the end of a lease releases its share but not its safe part', t => {
	const send = open();
	send('h1', {demand: 1000});
	t.is(send('h2', {demand: 1000}, 11_999).amount, 5);
	t.is(send('h2', {demand: 1000}, 12_000).amount, 80);
});

test('after a loss only safe parts are granted until old leases have ended', t => {
	const send = open('concurrency', 'lost');
	t.is(send('h1', {demand: 1000}, 11_999).amount, 5);
	t.is(send('h1', {demand: 1000}, 12_000).amount, 80);
});

// Guards against use beyond a lowered limit: the change of the catalogue has reached one host, and another host sends requests
// with the old limit.
test('the smallest limit in the latest requests applies', t => {
	const send = open();
	send('h1', {demand: 0, limit: 40});
	t.is(send('h2', {demand: 1000}).amount, 32);
	send('h1', {demand: 0, holds: 1});
	t.is(send('h2', {demand: 1000, holds: 2}).amount, 80);
});

test('a rate is divided into fractions', t => {
	const send = open('ratePerSecond');
	t.is(send('h1', {demand: 1000, limit: 1, carriers: 10}).safe, 0.025);
});

test('max-min division meets small demands and splits the rest', t => {
	t.deepEqual(records.divideMaxMin(10, [1, 20, 3, 20]), [1, 3, 3, 3]);
	t.deepEqual(records.divideMaxMin(10, [1, 2]), [1, 2]);
	t.deepEqual(records.divideMaxMin(10, []), []);
});

type Host = {readonly name: string; share: records.Share; until: number};

function getTotal(hosts: readonly Host[], now: number): number {
	return hosts.map(({share, until}) => until > now ? share.amount : share.safe).reduce((sum, amount) => sum + amount, 0);
}

// Guards against use beyond the limit: answers with shares are lost or late, so that hosts use earlier grants, and it would not
// suffice to count the latest grant of each host. Hosts are disconnected and fall back, demand changes, and leaders change.
test('the sum of what hosts may use never exceeds the limit', t => {
	let renewals = 0;
	let used = 0;
	let samples = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1}), seed => {
		const random = utils.createRandom(seed);
		const limit = 1 + utils.pickIndex(random, 200);
		const hosts = Array.from({length: HOSTS}, (_none, index) => ({
			name: `h${index}`, share: {sequence: 0, amount: 0, safe: 0}, until: 0,
		}));
		let delayedAnswers: Array<() => void> = [];
		let group = records.createRecords();
		let now = 0;
		let clock = records.createGroupClock({groupTime: 0, now});
		group.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'new'}}});
		for (let step = 0; step < 100; step++) {
			const host = hosts[utils.pickIndex(random, HOSTS)]!;
			const choice = random();
			if (choice < 0.6) {
				renewals++;
				const usable = host.until > now ? host.share.amount : host.share.safe;
				const {result} = group.apply({
					name: 'renew-shares',
					stampedAt: clock.stamp(now),
					payload: {
						requests: [{
							service: 's',
							limitName: 'concurrency',
							host: host.name,
							holds: host.share.sequence,
							demand: utils.pickIndex(random, 100),
							inUse: utils.pickIndex(random, usable + 1),
							limit,
							carriers: HOSTS + utils.pickIndex(random, 2),
						}],
					},
				});
				const [share] = result.shares;
				const until = now + records.SHARE_LEASE_MILLISECONDS;
				const applyShare = () => {
					if (!(share !== undefined && 'amount' in share && share.sequence > host.share.sequence)) {
						return;
					}

					host.share = share;
					host.until = until;
				};

				if (random() < 0.6) {
					applyShare();
				} else if (random() < 0.5) {
					delayedAnswers.push(applyShare);
				}
			} else if (choice < 0.75) {
				for (const applyShare of delayedAnswers) {
					applyShare();
				}

				delayedAnswers = [];
			} else if (choice < 0.8) {
				const snapshot = structuredClone(group.takeSnapshot());
				group = records.createRecords();
				group.restoreSnapshot(snapshot);
				clock = records.createGroupClock({groupTime: group.getGroupTime(), now});
			} else {
				now += random() * 4000;
			}

			const total = getTotal(hosts, now);
			utils.invariant(total <= limit, `${total} of ${limit}`);
			used += total / limit;
			samples++;
		}
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}: ${RUNS} runs, ${renewals} renewals, ${(used / samples).toFixed(3)} of the limit usable on average`);
	t.true(used > 0);
});
