/**
Tests of the command `load`.
*/
import {once} from 'node:events';
import * as files from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as cliRunner from './cli-runner.ts';

/**
Runs `load` against a server that answers each request with `answerId`, or with the id of the request if it is undefined.
*/
async function load(answerId: string | undefined, flags: readonly string[]): Promise<cliRunner.CliRun> {
	const server = http.createServer((request, response) => {
		response.setHeader('x-request-id', answerId ?? String(request.headers['x-request-id']));
		response.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const folder = await files.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-load-'));
	const mix = path.join(folder, 'mix.yaml');
	await files.writeFile(mix, 'requests: [{answer: bytes, answerBytes: 0}]');
	const run = await cliRunner.runCli([
		'load', '--targets', `127.0.0.1:${port}`, '--seconds', '1', '--requests-per-second', '20', '--mix', mix, ...flags,
	]);
	server.close();
	server.closeAllConnections();
	return run;
}

test('a run without wrong answers prints its result and exits with 0', async t => {
	const {code, output, errors} = await load(undefined, ['--format', 'json']);
	t.is(code, 0);
	t.regex(errors, /^(?:load: [^\n]+\n)*$/v);
	t.like(JSON.parse(output) as object, {notSent: 0, truth: {wrongAnswers: 0, isCompared: false}});
});

test('a run with wrong answers prints its result and exits with 1', async t => {
	const {code, output, errors} = await load('another', []);
	t.is(code, 1);
	t.regex(output, /WRONG: wrong answers \d+/v);
	t.regex(errors, /something wrong\n$/v);
});

const REFUSED: ReadonlyArray<{readonly flags: readonly string[]; readonly expectedError: string}> = [
	{flags: ['--mix', 'no-such-file.yaml'], expectedError: '--mix'},
	{flags: ['--seconds', '0'], expectedError: '--seconds'},
	{flags: ['--seconds', '999999999'], expectedError: 'At most'},
	{flags: ['--targets', ''], expectedError: 'no target'},
];

for (const {flags, expectedError} of REFUSED) {
	test(`load ${flags.join(' ')} is refused in one line with exit code 2`, async t => {
		const {code, errors} = await cliRunner.runCli(['load', ...flags]);
		t.is(code, 2);
		t.is(errors.split('\n').length, 2);
		t.true(errors.includes(expectedError));
	});
}
