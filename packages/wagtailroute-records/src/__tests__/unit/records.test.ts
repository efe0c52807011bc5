/**
Tables of cases for idempotency records and the moving of services.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as records from '../../index.ts';

type Send = <Name extends records.CommandName>(
	name: Name,
	payload: records.CommandPayloads[Name],
	stampedAt?: number,
) => records.CommandResults[Name];

const NAME = {service: 's', organisation: 'o', key: 'k'};
const CLAIM: records.Claim = {
	...NAME, digest: 'd', attempt: 'a1', host: 'h1', bootId: 'b1', budgetMilliseconds: 1000,
};
const ANSWER: records.StoredAnswer = {status: 201, headers: [['location', '/x']], body: 'made'};
const SMALL: records.RecordsBounds = {
	lostMilliseconds: 5000,
	idempotency: {
		retentionMilliseconds: 10_000, maxRecords: 3, maxRecordsPerOrganisation: 2, maxAnswerLength: 20, maxAnswersLength: 30,
	},
};

function open(bounds = records.DEFAULT_RECORDS_BOUNDS): {cell: records.Records; send: Send} {
	const cell = records.createRecords(bounds);
	const send: Send = (name, payload, stampedAt = 0) =>
		cell.apply({name, payload, stampedAt}).result;
	send('open-service', {service: 's', origin: {kind: 'new'}});
	return {cell, send};
}

const GRANTED = {kind: 'granted', token: 1, validityMilliseconds: records.CLAIM_VALIDITY_MILLISECONDS};

const CLAIMS: ReadonlyArray<{
	readonly title: string;
	readonly before: (send: Send) => void;
	readonly claim?: Partial<records.Claim>;
	readonly at?: number;
	readonly result: unknown;
}> = [
	{title: 'a first claim is granted', before() {/* Empty. */}, result: GRANTED},
	{
		title: 'the same attempt asking again holds the record',
		before(send) {
			send('claim', CLAIM);
		},
		result: GRANTED,
	},
	{
		title: 'another attempt finds it running',
		before(send) {
			send('claim', CLAIM);
		},
		claim: {attempt: 'a2', host: 'h2'},
		result: {kind: 'running'},
	},
	{
		title: 'another digest is a mismatch',
		before(send) {
			send('claim', CLAIM);
		},
		claim: {attempt: 'a2', digest: 'other'},
		result: {kind: 'mismatch'},
	},
	{
		title: 'another organisation has its own key',
		before(send) {
			send('claim', CLAIM);
		},
		claim: {attempt: 'a2', organisation: 'p'},
		result: {...GRANTED, token: 2},
	},
	{
		title: 'a resend gets the stored answer',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'not-run frees the key',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a2'},
		result: {...GRANTED, token: 2},
	},
	{
		title: 'another attempt cannot free the key',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a2', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a3'},
		result: {kind: 'running'},
	},
	{
		title: 'a claim that arrives after its attempt was given up is refused',
		before(send) {
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		result: {kind: 'refused', reason: 'abandoned'},
	},
	{
		title: 'a lost host leaves an unknown record',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b1'});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'unknown'},
	},
	{
		title: 'the next life of a host is not the lost one',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b0'});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'running'},
	},
	{
		title: 'a host taken for lost may still tell that it ran',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b1'});
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'what ran stays so',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'a claim past its budget is unknown',
		before(send) {
			send('claim', CLAIM);
		},
		claim: {attempt: 'a2'},
		at: 1000 + 5000 + 10_000,
		result: {kind: 'unknown'},
	},
	{
		title: 'a record is kept for the retention',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran'}}, 1);
		},
		claim: {attempt: 'a2'},
		at: 86_400_000,
		result: {kind: 'ran', answer: undefined},
	},
	{
		title: 'a stamp behind group time changes nothing',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran'}}, 1000);
		},
		claim: {attempt: 'a2'},
		at: -1_000_000,
		result: {kind: 'ran', answer: undefined},
	},
	{
		title: 'a service that is not held is refused',
		before() {/* Empty. */},
		claim: {service: 'other'},
		result: {kind: 'refused', reason: 'not-held'},
	},
];

for (const {title, before, claim, at = 0, result} of CLAIMS) {
	test(title, t => {
		const {send} = open();
		before(send);
		t.deepEqual(send('claim', {...CLAIM, ...claim}, at) as unknown, result);
	});
}

// Symptom: a key runs twice because its record made room for another.
// Sequence: an organisation sends many keys; the table fills up.
// Cause: eviction of a live record. A full table refuses instead, and answers beyond the bound are dropped.
test('full tables refuse and never evict', t => {
	const {send} = open(SMALL);
	const claim = (attempt: string, organisation: string) =>
		send('claim', {
			...CLAIM, attempt, organisation, key: attempt,
		});
	t.is(claim('a1', 'o').kind, 'granted');
	t.is(claim('a2', 'o').kind, 'granted');
	t.deepEqual(claim('a3', 'o'), {kind: 'refused', reason: 'organisation-full'});
	t.is(claim('a4', 'p').kind, 'granted');
	t.deepEqual(claim('a5', 'q'), {kind: 'refused', reason: 'records-full'});
	const settle = (attempt: string, organisation: string, body: string) =>
		send('settle', {
			...NAME, organisation, key: attempt, attempt, ending: {kind: 'ran', answer: {status: 200, headers: [], body}},
		});
	t.deepEqual(settle('a1', 'o', 'x'.repeat(21)), {kind: 'settled', isAnswerKept: false});
	t.deepEqual(settle('a2', 'o', 'x'.repeat(20)), {kind: 'settled', isAnswerKept: true});
	t.deepEqual(settle('a4', 'p', 'x'.repeat(20)), {kind: 'settled', isAnswerKept: false});
	t.is(claim('a1', 'o').kind, 'ran');
	t.is(send('claim', {...CLAIM, attempt: 'a6', key: 'a6'}, 10_000).kind, 'granted', 'the retention is over');
});

// Symptom: after a cell lost all its members a key that ran is run again.
// Sequence: the key ran; the cell restarts empty; the caller sends again.
// Cause: an empty table taken for a table without that key.
test('a cell opened after a loss answers unknown until no lost record can matter', t => {
	const cell = records.createRecords(SMALL);
	cell.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'lost'}}});
	t.deepEqual(cell.apply({name: 'claim', stampedAt: 4999, payload: CLAIM}).result, {kind: 'unknown'});
	t.deepEqual(cell.apply({name: 'claim', stampedAt: 5000, payload: CLAIM}).result, GRANTED as records.ClaimResult);
});

// Symptom: a key runs twice when the map moves its service to another cell.
// Sequence: hosts with the old map ask the old cell, hosts with the new map the new one.
// Cause: two cells that both answer for a service. The old one closes it first, and its records move.
test('a service moves with its records and times, and only one cell answers', t => {
	const from = open(SMALL);
	const to = records.createRecords(SMALL);
	from.send('claim', CLAIM, 500);
	from.send('settle', {...NAME, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}}, 1000);
	to.apply({name: 'tick', stampedAt: 700_000, payload: {}});
	t.is(to.apply({name: 'claim', stampedAt: 0, payload: CLAIM}).result.kind, 'refused');
	const closed = from.send('close-service', {service: 's'}, 2000);
	utils.invariant(closed.kind === 'closed', 'the service was open');
	t.is(from.send('claim', {...CLAIM, attempt: 'a2'}).kind, 'refused');
	const {exported} = closed;
	const text = JSON.stringify(exported);
	t.deepEqual(JSON.parse(text), exported, 'it is plain JSON');
	to.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'adopted', exported}}});
	const again = {...CLAIM, attempt: 'a2'};
	t.is(to.apply({name: 'claim', stampedAt: 708_999, payload: again}).result.kind, 'ran');
	t.is(to.apply({name: 'claim', stampedAt: 709_000, payload: again}).result.kind, 'granted');
});

// Symptom: all records end at once after a leader change.
// Sequence: the clock of the new leader is hours ahead, or the leader was frozen and wakes.
// Cause: stamps by a clock of its own. The stamp starts from the group time found, in steps of bounded size.
test('group time never runs ahead of real time', t => {
	const clock = records.createGroupClock({groupTime: 100, now: 9_000_000});
	const stamps = [[9_000_000, 100], [9_000_050, 150], [8_000_000, 150], [9_000_060, 160], [99_000_000, 2160]] as const;
	t.deepEqual(stamps.map(([now]) => clock.stamp(now)), stamps.map(([, stamp]) => stamp));
});

// Symptom: group time stands still for an hour, or runs ahead, after a host leads for the second time.
// Sequence: it leads, another host leads for an hour, it leads again with the clock that it had.
// Cause: a clock that goes on from its own last stamp, or counts the other's time once more.
test('a clock goes on from what another leader stamped', t => {
	const clock = records.createGroupClock({groupTime: 100, now: 0});
	t.is(clock.stamp(50, 100), 150);
	t.is(clock.stamp(3_600_050, 3_500_000), 3_500_000);
	t.is(clock.stamp(3_600_060, 3_500_000), 3_500_010);
});

test('a digest keeps its parts apart and a fingerprint holds the discriminator', t => {
	const digest = records.getRequestDigest({method: 'post', path: '/a', bodyDigest: 'b'});
	t.is(digest, records.getRequestDigest({method: 'POST', path: '/a', bodyDigest: 'b'}));
	t.not(digest, records.getRequestDigest({method: 'POST', path: '/ab', bodyDigest: ''}));
	const parts = {service: 's', method: 'GET', path: '/'};
	t.not(records.getFingerprint({...parts, discriminator: '1'}), records.getFingerprint({...parts, discriminator: '2'}));
});
