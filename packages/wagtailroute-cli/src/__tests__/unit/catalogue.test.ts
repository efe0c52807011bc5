/**
Tests of the commands that send requests to an admin port, against a fake admin port.
*/
import {once} from 'node:events';
import * as files from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as cliRunner from './cli-runner.ts';

type ReceivedRequest = {
	readonly requestLine: string;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
};

type Reply = {
	readonly status?: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	/**
	The server closes the connection in place of an answer.
	*/
	readonly isLost?: boolean;
};

/**
Runs the command line against a fake admin port. Each request line (method and path) gets its replies in turn, then the last one
again.
*/
async function runAgainst(argv: readonly string[], replies: Readonly<Record<string, readonly Reply[]>>): Promise<
	cliRunner.CliRun & {readonly received: readonly ReceivedRequest[]}
> {
	const received: ReceivedRequest[] = [];
	const server = http.createServer((request, response) => {
		void answer(request, response);
	});

	async function answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		let body = '';
		for await (const chunk of request) {
			body += String(chunk);
		}

		const requestLine = `${request.method} ${request.url}`;
		const count = received.filter(other => other.requestLine === requestLine).length;
		received.push({requestLine, headers: request.headers, body});
		const reply = replies[requestLine]?.[count] ?? replies[requestLine]?.at(-1) ?? {status: 404, body: {title: 'Unknown'}};
		if (reply.isLost) {
			response.destroy();
			return;
		}

		response.writeHead(reply.status ?? 200, reply.headers);
		response.end(typeof reply.body === 'string' ? reply.body : JSON.stringify(reply.body ?? {}));
	}

	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const run = await cliRunner.runCli([...argv, '--admin', `127.0.0.1:${port}`, '--operator-token', 'token']);
	server.close();
	server.closeAllConnections();
	return {...run, received};
}

async function writeEntries(text: string): Promise<string> {
	const folder = await files.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-cli-'));
	const file = path.join(folder, 'entries.yaml');
	await files.writeFile(file, text);
	return file;
}

const IN_FORCE = [{body: {have: ['h1', 'h2'], lack: []}}];

test('apply creates a new entry, replaces an existing one, and waits until both are in force', async t => {
	const file = await writeEntries('name: archive\nowner: a\n---\nname: media\n');
	const {code, output, received} = await runAgainst(['catalogue', 'apply', file], {
		'GET /catalogue/media': [{headers: {etag: '"7"'}}],
		'PUT /catalogue/archive': [{status: 201, headers: {etag: '"8"'}}],
		'PUT /catalogue/media': [{headers: {etag: '"9"'}}],
		'GET /catalogue/archive/in-force': [{body: {have: ['h1'], lack: ['h2']}}, ...IN_FORCE],
		'GET /catalogue/media/in-force': IN_FORCE,
	});
	t.is(code, 0);
	t.is(output, 'archive: applied, revision 8, in force on 2 hosts\nmedia: applied, revision 9, in force on 2 hosts\n');
	const puts = received.filter(({requestLine}) => requestLine.startsWith('PUT'));
	t.like(puts[0], {body: '{"name":"archive","owner":"a"}', headers: {'if-none-match': '*', authorization: 'Bearer token'}});
	t.like(puts[1], {headers: {'if-match': '"7"'}});
	t.not(puts[0]?.headers['change-id'], puts[1]?.headers['change-id']);
});

test('a change whose answer is lost is sent again under the same Change-Id', async t => {
	// Guards against a conflict that is reported although nobody else changed the entry: the change is committed, its answer is lost,
	// and the retry, with a new Change-Id or a revision that was read again, counts as a second change.
	const file = await writeEntries('name: archive\n');
	const {code, received} = await runAgainst(['catalogue', 'apply', file, '--no-wait'], {
		'GET /catalogue/archive': [{headers: {etag: '"3"'}}, {headers: {etag: '"4"'}}],
		'PUT /catalogue/archive': [{isLost: true}, {status: 503, body: {title: 'No quorum'}}, {headers: {etag: '"4"'}}],
	});
	t.is(code, 0);
	const puts = received.filter(({requestLine}) => requestLine.startsWith('PUT'));
	t.is(puts.length, 3);
	t.is(new Set(puts.map(({headers}) => headers['change-id'])).size, 1);
	t.deepEqual(puts.map(({headers}) => headers['if-match']), ['"3"', '"3"', '"3"']);
});

test('a change whose first answer is lost is never reported as not run', async t => {
	// Guards against an operator who repeats a committed change under another Change-Id: the change is committed, its answer is lost,
	// every retry gets not-run from a fleet without a quorum, and the command reports only the outcome of the last attempt.
	const file = await writeEntries('name: archive\n');
	const {code, errors} = await runAgainst(['catalogue', 'apply', file, '--no-wait'], {
		'GET /catalogue/archive': [{headers: {etag: '"3"'}}],
		'PUT /catalogue/archive': [{isLost: true}, {status: 503, headers: {'wagtailroute-outcome': 'not-run'}, body: {title: 'No quorum'}}],
	});
	t.is(code, 1);
	t.regex(errors, /may have been taken, its outcome is unknown/v);
});

type RefusedCase = {
	readonly name: string;
	readonly argv: readonly string[];
	readonly replies: Readonly<Record<string, readonly Reply[]>>;
	readonly expectedError: RegExp;
};

const REFUSED_CASES: readonly RefusedCase[] = [
	{
		name: 'a lost race',
		argv: ['catalogue', 'remove', 'archive', '--revision', '3'],
		replies: {'DELETE /catalogue/archive': [{status: 412, headers: {etag: '"5"'}, body: {title: 'Lost race', detail: 'changed\nmeanwhile'}}]},
		expectedError: /^wagtailroute: archive: 412, Lost race: changed meanwhile, the present revision is 5\n$/v,
	},
	{
		name: 'a missing token',
		argv: ['fleet', 'status'],
		replies: {'GET /fleet': [{status: 401, body: {title: 'Unauthorized'}}]},
		expectedError: /401, Unauthorized/v,
	},
	{
		name: 'an answer that is not JSON',
		argv: ['catalogue', 'list'],
		replies: {'GET /catalogue': [{body: '<html>'}]},
		expectedError: /not what was expected: <html>/v,
	},
	{
		name: 'no answer',
		argv: ['catalogue', 'list'],
		replies: {'GET /catalogue': [{isLost: true}]},
		expectedError: /gave no answer/v,
	},
];

for (const {name, argv, replies, expectedError} of REFUSED_CASES) {
	test(`${name} is reported in one line with exit code 1`, async t => {
		const {code, output, errors} = await runAgainst(argv, replies);
		t.is(code, 1);
		t.is(output, '');
		t.regex(errors, expectedError);
		t.is(errors.split('\n').length, 2);
	});
}

const QUERY_CASES: ReadonlyArray<{
	readonly argv: readonly string[];
	readonly requestLine: string;
	readonly reply: Reply;
	readonly output: string;
}> = [
	{
		argv: ['catalogue', 'list'],
		requestLine: 'GET /catalogue',
		reply: {
			body: {
				entries: [{
					name: 'a', revision: 12, owner: 'o', entry: {},
				}, {
					name: 'media', revision: 3, owner: 'p', entry: {},
				}],
			},
		},
		output: 'name   revision  owner\na      12        o\nmedia  3         p\n',
	},
	{
		argv: ['catalogue', 'list', '--format', 'json'],
		requestLine: 'GET /catalogue',
		reply: {body: {entries: []}},
		output: '{\n  "entries": []\n}\n',
	},
	{
		argv: ['catalogue', 'show', 'a b'],
		requestLine: 'GET /catalogue/a%20b',
		reply: {headers: {etag: '"4"'}, body: {name: 'a b', routes: [{class: 'read'}]}},
		output: '# revision 4\nname: a b\nroutes:\n  - class: read\n',
	},
	{
		argv: ['upstreams', 'list', 'media'], requestLine: 'GET /services/media/upstreams', reply: {body: {upstreams: []}}, output: 'upstreams: none\n',
	},
	{
		argv: ['report', 'burn', '--format', 'html', '--window', '5m'],
		requestLine: 'GET /report/burn?window=5m&format=html',
		reply: {body: '<p>'},
		output: '<p>\n',
	},
];

for (const {argv, requestLine, reply, output} of QUERY_CASES) {
	test(`"${argv.join(' ')}" prints the answer of the admin port`, async t => {
		const run = await runAgainst(argv, {[requestLine]: [reply]});
		t.is(run.errors, '');
		t.is(run.output, output);
		t.is(run.code, 0);
	});
}
