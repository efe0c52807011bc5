import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import test from 'ava';
import * as cli from 'wagtailroute-cli';
import {GOOD_SERVICE, SECRET, TOKEN} from '../../constants.ts';
import {examine} from '../../examination.ts';
import {closeConnections, postBody, sendDatagram} from '../../fleet-client.ts';
import {sendRaw} from '../../raw.ts';
import {request} from '../../requests.ts';
import {DATAGRAMS, MESSAGES} from '../../surfaces/messages.ts';
import {createPlace, openTarget} from '../../target.ts';

const PORT = 27_400;

const target = await openTarget(createPlace(PORT));

async function examineTarget(): Promise<readonly string[]> {
	const {faults} = await examine(target);
	return faults;
}

test.after.always(async () => {
	await target.close();
	await closeConnections();
});

async function callMethod(method: string, parameters: unknown): Promise<string> {
	const {text} = await postBody(target.place.peer, {
		secret: SECRET, body: JSON.stringify({
			jsonrpc: '2.0', id: 1, method, params: parameters,
		}),
	});
	return text;
}

async function sendMessage(parameters: unknown): Promise<void> {
	await sendDatagram(target.place.peer, SECRET, Buffer.from(JSON.stringify({jsonrpc: '2.0', method: 'membership', params: parameters})));
}

// Symptom: a caller is told `not-run` and sends again a request that ran.
// Sequence: a body one byte longer than declared; the byte begins a malformed second request while the first is under way.
// Cause: the answer to the malformed one was written before that of the first, and read as its answer.
test.serial('a request followed by malformed bytes is never told not-run', async t => {
	const text = `POST /${GOOD_SERVICE}/keyed/1 HTTP/1.1\r\nhost: x\r\nidempotency-key: excess\r\nx-request-id: excess\r\ncontent-length: 2\r\n\r\nbbb`;
	const answer = await sendRaw(target.place.traffic, Buffer.from(text), 'whole');
	t.false(answer.includes('not-run'), answer.slice(0, 400));
	t.deepEqual(await examineTarget(), []);
});

// Symptom: an operator's tool sees its connection cut, the log holds a stack.
// Sequence: GET // on the admin port.
// Cause: a target that is no URL threw outside of any check.
test.serial('a target that is no URL is told so', async t => {
	const answer = await sendRaw(target.place.admin, Buffer.from('GET // HTTP/1.1\r\nhost: x\r\n\r\n'), 'whole');
	t.regex(answer, /^HTTP\/1\.1 400 /v);
});

const BODIES = ['null', '[null]', '0', '""', '[[]]', '{', '', '[]', '{}'];

for (const body of BODIES) {
	// Symptom: a host ends by an unhandled rejection.
	// Sequence: another host posts a body that is JSON but no call.
	// Cause: the library read members of null.
	test.serial(`the body ${JSON.stringify(body)} between hosts does no harm`, async t => {
		const {status} = await postBody(target.place.peer, {secret: SECRET, body});
		t.not(status, 0);
		t.deepEqual(await examineTarget(), []);
	});
}

const PAYLOADS = ['{', 'null', '0', '', '{"jsonrpc":"2.0","method":"membership"}', '{"jsonrpc":"2.0","method":"membership","params":null}'];

for (const payload of PAYLOADS) {
	// Symptom: a host ends by an exception in a socket's event.
	// Sequence: a datagram with the right tag whose payload is not JSON, or no message.
	// Cause: an authentic payload was taken for a well-formed one.
	test.serial(`the authentic datagram ${JSON.stringify(payload)} does no harm`, async t => {
		await sendDatagram(target.place.peer, SECRET, Buffer.from(payload));
		t.deepEqual(await examineTarget(), []);
	});
}

// Symptom: a host ends by a defect in its membership.
// Sequence: a message from an unknown host whose address has no port; the host asks it for its record.
// Cause: sending to the port NaN throws.
test.serial('a sender without a port does no harm', async t => {
	const [message] = DATAGRAMS as ReadonlyArray<{readonly from: object}>;
	await sendMessage({...message, from: {...message!.from, id: 'stray', peer: 'nowhere'}});
	t.deepEqual(await examineTarget(), []);
});

// Symptom: a host ends by a defect in its membership.
// Sequence: another host's digest of the table is shorter than this one's, for one as its version has fewer groups.
// Cause: the digest was read past its end.
test.serial('a digest that is too short does no harm', async t => {
	const [message] = DATAGRAMS as ReadonlyArray<Readonly<Record<string, unknown>>>;
	await sendMessage({...message, kind: 'digest', hashes: 'AAAA'});
	t.deepEqual(await examineTarget(), []);
});

const MALFORMED: ReadonlyArray<readonly [title: string, method: string, parameters: unknown]> = [
	// The unknown command and the false entry stopped their group for good, the false address ended the process.
	['a message of an unknown kind', 'announcements.message', {from: 'ghost', message: {kind: 'x'}}],
	['a delta without leases', 'announcements.message', {from: 'ghost', message: {kind: 'delta'}}],
	['a command of an unknown name', 'control.propose', {group: 'records', command: {name: 'x', stampedAt: 0, payload: {}}}],
	['a command without a payload', 'control.propose', {group: 'records', command: {name: 'claim', stampedAt: 0}}],
	['a share request that is null', 'control.propose', {group: 'records', command: {name: 'renew-shares', stampedAt: 0, payload: {requests: [null]}}}],
	['an entry that is no entry', 'control.propose', {
		group: 'catalogue', command: {
			changeId: 'c', operator: 'o', name: 'n', entry: {name: 'n'}, expected: 0, takenAt: 0,
		},
	}],
	['an unknown group', 'control.propose', {group: '__proto__', command: {}}],
	['a group message of an unknown kind', 'control.message', {
		kind: 'x', group: 'records', from: 'a~1', to: 'b~1', term: 1,
	}],
	['a notice with an address that is none', 'catalogue.revision', {revision: 9, address: {ip: 'x', port: -1}}],
];

for (const [title, method, parameters] of MALFORMED) {
	// Symptom: a host ends, or all replicas of a group stop and stop again at each start.
	// Sequence: a faulty host, or one of another version, calls a method with parameters that its receiver doesn't expect.
	// Cause: parameters were used as they came.
	test.serial(`${title} is refused`, async t => {
		t.regex(await callMethod(method, parameters), /malformed/v);
		t.deepEqual(await examineTarget(), []);
	});
}

for (const [method, variants] of MESSAGES) {
	test.serial(`${method}: valid parameters pass, none at all are refused`, async t => {
		for (const parameters of variants) {
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const answer = await callMethod(method, parameters);
			t.false(answer.includes('malformed'), `${JSON.stringify(parameters)}: ${answer}`);
		}

		t.regex(await callMethod(method, null), /malformed/v);
		t.deepEqual(await examineTarget(), []);
	});
}

test.serial('valid datagrams pass', async t => {
	for (const message of DATAGRAMS) {
		await sendMessage(message); // eslint-disable-line no-await-in-loop -- One after the other.
	}

	const {text} = await request(target.place.admin, {path: '/fleet', headers: {authorization: `Bearer ${TOKEN}`}});
	t.regex(text, /"ghost"/v);
	t.deepEqual(await examineTarget(), []);
});

const WORDS: ReadonlyArray<readonly string[]> = [
	['--admin', 'catalogue', 'list', '--operator-token', 'hush-hush'],
	['fleet', 'status', '--operator-toke', 'hush-hush'],
	['fleet', 'status', '--fleet-sercet=hush-hush'],
];

for (const words of WORDS) {
	// Symptom: a secret stands in a terminal's history of output or in a log.
	// Sequence: a mistake in the words before it.
	// Cause: the message of the mistake repeats the words.
	test(`${words.join(' ')}: the secret is not printed`, async t => {
		const printed: string[] = [];
		const sink = () => new stream.Writable({
			write(chunk, _encoding, done) {
				printed.push(String(chunk));
				done();
			},
		});
		const code = await cli.runCli(words, {
			environment: {}, stdin: stream.Readable.from([]), stdout: sink(), stderr: sink(),
		});
		t.is(code, 2);
		t.false(printed.join('').includes('hush-hush'), printed.join(''));
	});
}
