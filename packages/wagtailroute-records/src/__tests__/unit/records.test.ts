/**
Cases for idempotency records, moves of services between replica groups, and group time.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as records from '../../index.ts';

type Send = <Name extends records.CommandName>(
	name: Name,
	payload: records.CommandPayloads[Name],
	stampedAt?: number,
) => records.CommandResults[Name];

const RECORD_ID = {service: 's', organisation: 'o', key: 'k'};
const CLAIM: records.Claim = {
	...RECORD_ID, digest: 'd', attempt: 'a1', host: 'h1', bootId: 'b1', budgetMilliseconds: 1000,
};
const ANSWER: records.StoredAnswer = {status: 201, headers: [['location', '/x']], body: 'made'};
const SMALL_BOUNDS: records.RecordsBounds = {
	lostMilliseconds: 5000,
	idempotency: {
		retentionMilliseconds: 10_000, maxRecords: 3, maxRecordsPerOrganisation: 2, maxAnswerLength: 20, maxAnswersLength: 30,
	},
};

function open(bounds = records.DEFAULT_RECORDS_BOUNDS): {group: records.Records; send: Send} {
	const group = records.createRecords(bounds);
	const send: Send = (name, payload, stampedAt = 0) =>
		group.apply({name, payload, stampedAt}).result;
	send('open-service', {service: 's', origin: {kind: 'new'}});
	return {group, send};
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
		title: 'a repeated claim of the same attempt returns the grant',
		before(send) {
			send('claim', CLAIM);
		},
		result: GRANTED,
	},
	{
		title: 'another attempt gets running',
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
		title: 'the same key of another organisation is another record',
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
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'a key settled as not-run can be claimed again',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a2'},
		result: {...GRANTED, token: 2},
	},
	{
		title: 'another attempt cannot settle the record',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...RECORD_ID, attempt: 'a2', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a3'},
		result: {kind: 'running'},
	},
	{
		title: 'a claim that arrives after its attempt was abandoned is refused',
		before(send) {
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		result: {kind: 'refused', reason: 'abandoned'},
	},
	{
		title: 'the record of a lost host becomes unknown',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b1'});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'unknown'},
	},
	{
		title: 'the loss of another process of the host leaves the record running',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b0'});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'running'},
	},
	{
		title: 'a host reported as lost may still settle ran',
		before(send) {
			send('claim', CLAIM);
			send('lose-host', {host: 'h1', bootId: 'b1'});
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'ran is final',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}});
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'not-run'}});
		},
		claim: {attempt: 'a2'},
		result: {kind: 'ran', answer: ANSWER},
	},
	{
		title: 'a claim past its budget becomes unknown',
		before(send) {
			send('claim', CLAIM);
		},
		claim: {attempt: 'a2'},
		at: 1000 + 5000 + 10_000,
		result: {kind: 'unknown'},
	},
	{
		title: 'a settled record is kept for the retention',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran'}}, 1);
		},
		claim: {attempt: 'a2'},
		at: 86_400_000,
		result: {kind: 'ran', answer: undefined},
	},
	{
		title: 'a stamp behind group time changes nothing',
		before(send) {
			send('claim', CLAIM);
			send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran'}}, 1000);
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

// Guards against a key that runs twice because its unexpired record was evicted from a full table.
test('full tables refuse claims, drop answers and never evict records', t => {
	const {send} = open(SMALL_BOUNDS);
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
			...RECORD_ID, organisation, key: attempt, attempt, ending: {kind: 'ran', answer: {status: 200, headers: [], body}},
		});
	t.deepEqual(settle('a1', 'o', 'x'.repeat(21)), {kind: 'settled', isAnswerKept: false});
	t.deepEqual(settle('a2', 'o', 'x'.repeat(20)), {kind: 'settled', isAnswerKept: true});
	t.deepEqual(settle('a4', 'p', 'x'.repeat(20)), {kind: 'settled', isAnswerKept: false});
	t.is(claim('a1', 'o').kind, 'ran');
	t.is(send('claim', {...CLAIM, attempt: 'a6', key: 'a6'}, 10_000).kind, 'granted', 'the retention is over');
});

// Guards against a key that runs twice because the replica group lost its state and restarted with an empty table.
test('claims of keys without a record return unknown after a loss until lost records would have expired', t => {
	const group = records.createRecords(SMALL_BOUNDS);
	group.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'lost'}}});
	t.deepEqual(group.apply({name: 'claim', stampedAt: 4999, payload: CLAIM}).result, {kind: 'unknown'});
	t.deepEqual(group.apply({name: 'claim', stampedAt: 5000, payload: CLAIM}).result, GRANTED as records.ClaimResult);
});

// Guards against a key that runs twice while a service moves: hosts with the old map send claims to the old group, hosts with
// the new map to the new group.
test('a service moves with its records and times, and only one group holds it', t => {
	const from = open(SMALL_BOUNDS);
	const to = records.createRecords(SMALL_BOUNDS);
	from.send('claim', CLAIM, 500);
	from.send('settle', {...RECORD_ID, attempt: 'a1', ending: {kind: 'ran', answer: ANSWER}}, 1000);
	to.apply({name: 'tick', stampedAt: 700_000, payload: {}});
	t.is(to.apply({name: 'claim', stampedAt: 0, payload: CLAIM}).result.kind, 'refused');
	const closed = from.send('close-service', {service: 's'}, 2000);
	utils.invariant(closed.kind === 'closed', 'the service was open');
	t.is(from.send('claim', {...CLAIM, attempt: 'a2'}).kind, 'refused');
	const {exported} = closed;
	const text = JSON.stringify(exported);
	t.deepEqual(JSON.parse(text), exported, 'the export is plain JSON');
	to.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'adopted', exported}}});
	const again = {...CLAIM, attempt: 'a2'};
	t.is(to.apply({name: 'claim', stampedAt: 708_999, payload: again}).result.kind, 'ran');
	t.is(to.apply({name: 'claim', stampedAt: 709_000, payload: again}).result.kind, 'granted');
});

// Guards against the early expiry of all records after a leader change: the new leader's clock is hours ahead, or a frozen
// leader resumes.
test('group time never runs ahead of real time', t => {
	const clock = records.createGroupClock({groupTime: 100, now: 9_000_000});
	const stamps = [[9_000_000, 100], [9_000_050, 150], [8_000_000, 150], [9_000_060, 160], [99_000_000, 2160]] as const;
	t.deepEqual(stamps.map(([now]) => clock.stamp(now)), stamps.map(([, stamp]) => stamp));
});

// Guards against group time that stops for an hour or runs ahead: a host leads, another host leads for an hour, and the first
// host leads again with its old clock.
test('a clock continues from the stamps of another leader', t => {
	const clock = records.createGroupClock({groupTime: 100, now: 0});
	t.is(clock.stamp(50, 100), 150);
	t.is(clock.stamp(3_600_050, 3_500_000), 3_500_000);
	t.is(clock.stamp(3_600_060, 3_500_000), 3_500_010);
});

test('a digest separates its parts, and a fingerprint depends on the discriminator', t => {
	const digest = records.getRequestDigest({method: 'post', path: '/a', bodyDigest: 'b'});
	t.is(digest, records.getRequestDigest({method: 'POST', path: '/a', bodyDigest: 'b'}));
	t.not(digest, records.getRequestDigest({method: 'POST', path: '/ab', bodyDigest: ''}));
	const parts = {service: 's', method: 'GET', path: '/'};
	t.not(records.getFingerprint({...parts, discriminator: '1'}), records.getFingerprint({...parts, discriminator: '2'}));
});
