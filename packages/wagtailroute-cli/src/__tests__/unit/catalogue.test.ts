/**
Tests of the commands that speak to an admin port, against a fake one.
*/
import {once} from 'node:events';
import * as files from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as surroundings from './surroundings.ts';

type Asked = {
	readonly question: string;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
};

type Reply = {
	readonly status?: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	/**
	The connection is broken in place of an answer.
	*/
	readonly isLost?: boolean;
};

/**
Runs the command line against a fake admin port that gives the replies of each question in turn, the last one again.
*/
async function runAgainst(words: readonly string[], replies: Readonly<Record<string, readonly Reply[]>>): Promise<
	surroundings.Run & {readonly asked: readonly Asked[]}
> {
	const asked: Asked[] = [];
	const server = http.createServer((request, response) => {
		void answer(request, response);
	});

	async function answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		let body = '';
		for await (const chunk of request) {
			body += String(chunk);
		}

		const question = `${request.method} ${request.url}`;
		const count = asked.filter(other => other.question === question).length;
		asked.push({question, headers: request.headers, body});
		const reply = replies[question]?.[count] ?? replies[question]?.at(-1) ?? {status: 404, body: {title: 'Unknown'}};
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
	const run = await surroundings.run([...words, '--admin', `127.0.0.1:${port}`, '--operator-token', 'token']);
	server.close();
	server.closeAllConnections();
	return {...run, asked};
}

async function writeEntries(text: string): Promise<string> {
	const folder = await files.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-cli-'));
	const file = path.join(folder, 'entries.yaml');
	await files.writeFile(file, text);
	return file;
}

const IN_FORCE = [{body: {have: ['h1', 'h2'], lack: []}}];

test('apply creates a new entry and replaces a present one, then waits until both are in force', async t => {
	const file = await writeEntries('name: archive\nowner: a\n---\nname: media\n');
	const {code, output, asked} = await runAgainst(['catalogue', 'apply', file], {
		'GET /catalogue/media': [{headers: {etag: '"7"'}}],
		'PUT /catalogue/archive': [{status: 201, headers: {etag: '"8"'}}],
		'PUT /catalogue/media': [{headers: {etag: '"9"'}}],
		'GET /catalogue/archive/in-force': [{body: {have: ['h1'], lack: ['h2']}}, ...IN_FORCE],
		'GET /catalogue/media/in-force': IN_FORCE,
	});
	t.is(code, 0);
	t.is(output, 'archive: applied, revision 8, in force on 2 hosts\nmedia: applied, revision 9, in force on 2 hosts\n');
	const puts = asked.filter(({question}) => question.startsWith('PUT'));
	t.like(puts[0], {body: '{"name":"archive","owner":"a"}', headers: {'if-none-match': '*', authorization: 'Bearer token'}});
	t.like(puts[1], {headers: {'if-match': '"7"'}});
	t.not(puts[0]?.headers['change-id'], puts[1]?.headers['change-id']);
});

test('a change whose answer is lost is sent again under the same Change-Id', async t => {
	// Symptom: the operator is told of a lost race although nobody else changed the entry.
	// Sequence: the change is taken, its answer is lost, the client sends it again against the old revision.
	// Cause: a resend with a new Change-Id, or with a revision read anew, is a second change.
	const file = await writeEntries('name: archive\n');
	const {code, asked} = await runAgainst(['catalogue', 'apply', file, '--no-wait'], {
		'GET /catalogue/archive': [{headers: {etag: '"3"'}}, {headers: {etag: '"4"'}}],
		'PUT /catalogue/archive': [{isLost: true}, {status: 503, body: {title: 'No quorum'}}, {headers: {etag: '"4"'}}],
	});
	t.is(code, 0);
	const puts = asked.filter(({question}) => question.startsWith('PUT'));
	t.is(puts.length, 3);
	t.is(new Set(puts.map(({headers}) => headers['change-id'])).size, 1);
	t.deepEqual(puts.map(({headers}) => headers['if-match']), ['"3"', '"3"', '"3"']);
});

test('a change whose first answer is lost is never told as not run', async t => {
	// Symptom: an operator makes a change a second time, under another Change-Id, although the first one was taken.
	// Sequence: the change is taken, its answer is lost, every resend meets a fleet without a quorum that says not-run.
	// Cause: only the outcome of the last sending was told.
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
	readonly words: readonly string[];
	readonly replies: Readonly<Record<string, readonly Reply[]>>;
	readonly told: RegExp;
};

const REFUSED_CASES: readonly RefusedCase[] = [
	{
		name: 'a lost race',
		words: ['catalogue', 'remove', 'archive', '--revision', '3'],
		replies: {'DELETE /catalogue/archive': [{status: 412, headers: {etag: '"5"'}, body: {title: 'Lost race', detail: 'changed\nmeanwhile'}}]},
		told: /^wagtailroute: archive: 412, Lost race: changed meanwhile, the present revision is 5\n$/v,
	},
	{
		name: 'a missing token',
		words: ['fleet', 'status'],
		replies: {'GET /fleet': [{status: 401, body: {title: 'Unauthorized'}}]},
		told: /401, Unauthorized/v,
	},
	{
		name: 'an answer that is not JSON',
		words: ['catalogue', 'list'],
		replies: {'GET /catalogue': [{body: '<html>'}]},
		told: /not what was expected: <html>/v,
	},
	{
		name: 'no answer',
		words: ['catalogue', 'list'],
		replies: {'GET /catalogue': [{isLost: true}]},
		told: /gave no answer/v,
	},
];

for (const {name, words, replies, told} of REFUSED_CASES) {
	test(`${name} is told in one line and ends with 1`, async t => {
		const {code, output, errors} = await runAgainst(words, replies);
		t.is(code, 1);
		t.is(output, '');
		t.regex(errors, told);
		t.is(errors.split('\n').length, 2);
	});
}

const QUERY_CASES: ReadonlyArray<{
	readonly words: readonly string[];
	readonly question: string;
	readonly reply: Reply;
	readonly output: string;
}> = [
	{
		words: ['catalogue', 'list'],
		question: 'GET /catalogue',
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
		words: ['catalogue', 'list', '--format', 'json'],
		question: 'GET /catalogue',
		reply: {body: {entries: []}},
		output: '{\n  "entries": []\n}\n',
	},
	{
		words: ['catalogue', 'show', 'a b'],
		question: 'GET /catalogue/a%20b',
		reply: {headers: {etag: '"4"'}, body: {name: 'a b', routes: [{class: 'read'}]}},
		output: '# revision 4\nname: a b\nroutes:\n  - class: read\n',
	},
	{
		words: ['upstreams', 'list', 'media'], question: 'GET /services/media/upstreams', reply: {body: {upstreams: []}}, output: 'upstreams: none\n',
	},
	{
		words: ['report', 'burn', '--format', 'html', '--window', '5m'],
		question: 'GET /report/burn?window=5m&format=html',
		reply: {body: '<p>'},
		output: '<p>\n',
	},
];

for (const {words, question, reply, output} of QUERY_CASES) {
	test(`"${words.join(' ')}" prints the answer`, async t => {
		const run = await runAgainst(words, {[question]: [reply]});
		t.is(run.errors, '');
		t.is(run.output, output);
		t.is(run.code, 0);
	});
}
