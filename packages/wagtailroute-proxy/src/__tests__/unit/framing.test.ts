/**
Tests of where the body of a response ends.
*/
import test from 'ava';
import * as fc from 'fast-check';
import {type Framing, readFraming} from '../../framing.ts';
import {openFixture, send} from './fixture.ts';
import {createResponse, startRawUpstream} from './raw-upstream.ts';

type Case = {
	readonly name: string;
	readonly method?: string;
	readonly status?: number;
	readonly codings?: string | string[];
	readonly length?: string;
	readonly framing: Framing;
};

const CASES: readonly Case[] = [
	{name: 'neither coding nor length', framing: 'connection'},
	{name: 'a length', length: '5', framing: 'length'},
	{
		name: 'a length, to HEAD', method: 'HEAD', length: '5', framing: 'none',
	},
	{
		name: 'no content', status: 204, codings: 'x', framing: 'none',
	},
	{
		name: 'no change', status: 304, length: '5', framing: 'none',
	},
	{name: 'chunks', codings: 'chunked', framing: 'chunks'},
	{name: 'chunks in capitals', codings: 'GZIP,\tCHUNKED ', framing: 'chunks'},
	{name: 'chunks in the second field', codings: ['gzip', 'chunked'], framing: 'chunks'},
	{name: 'another coding', codings: 'gzip', framing: 'connection'},
	{
		name: 'another coding and a length', codings: 'identity', length: '5', framing: 'connection',
	},
	{name: 'no name of a coding', codings: '', framing: 'connection'},
	{name: 'chunks in the first field', codings: ['chunked', 'gzip'], framing: 'unclear'},
	{name: 'chunks and a tab', codings: 'chunked\t', framing: 'unclear'},
	{name: 'chunks behind a non-breaking space', codings: '\u{A0}chunked', framing: 'unclear'},
	{name: 'chunks and a comma', codings: 'chunked,', framing: 'unclear'},
	{name: 'chunks with a parameter', codings: 'chunked;a=b', framing: 'unclear'},
];

for (const {
	name, method = 'GET', status = 200, codings, length, framing,
} of CASES) {
	test(`the framing of a response with ${name} is ${framing}`, t => {
		t.is(readFraming(method, status, {'transfer-encoding': codings, 'content-length': length}), framing);
	});
}

const PARTS = ['chunked', 'Chunked', 'CHUNKED', 'gzip', 'identity', 'x', 'chunk', 'ed', ',', ', ', ';', '=', '"', '-', ' ', '\t', '\r\ntransfer-encoding:', '\u{A0}', '\u{85}', '\u{EA}', '\u{AA}'];
const FIELDS = fc.array(fc.constantFrom(...PARTS), {maxLength: 6}).map(parts => parts.join(''));
const RUNS = 400;

// Guards against chunks that are relayed as the body: wherever the connection ended, such a body would look complete.
test('a response whose codings name chunks is relayed without its chunk sizes, or not at all', async t => {
	const upstream = await startRawUpstream(t, path => {
		const {searchParams, pathname} = new URL(path, 'http://a');
		const codings = String(searchParams.get('codings'));
		const body = pathname === '/cut' ? '5\r\nhel' : '5\r\nhello\r\n0\r\n\r\n';
		return path === '/' ? createResponse('') : {head: `HTTP/1.1 200 OK\r\ntransfer-encoding:${codings}\r\n\r\n${body}`, isClosed: true};
	});
	const fixture = await openFixture(t, {faults: [], addresses: [upstream.address]});
	const seen = {relayed: 0, refused: 0};
	await fc.assert(fc.asyncProperty(FIELDS.filter(codings => codings.toLowerCase().includes('chunked')), async codings => {
		const query = `?codings=${encodeURIComponent(codings)}`;
		const {status, text} = await send(fixture, `/whole${query}`);
		seen[status === 200 ? 'relayed' : 'refused']++;
		if (status === 200) {
			t.is(text, 'hello');
			await t.throwsAsync(send(fixture, `/cut${query}`));
		} else {
			t.is(status, 502);
			const cut = await send(fixture, `/cut${query}`);
			t.is(cut.status, 502);
		}
	}), {numRuns: RUNS});
	t.log(seen);
	t.true(seen.relayed > 0 && seen.refused > 0);
});
