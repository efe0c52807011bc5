/**
The surfaces that speak HTTP in clear: traffic, announcements, directory and admin port. Each takes a valid request, changes
parts of it or its bytes, and sends it over a connection of its own.
*/
import {Buffer} from 'node:buffer';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	DECOY_SERVICE,
	GOOD_MILLISECONDS,
	GOOD_SERVICE,
	INPUT_MILLISECONDS,
	TOKEN,
} from '../constants.ts';
import {
	mutateBytes,
	mutateJson,
	mutateText,
	pick,
} from '../mutations.ts';
import {ALL_PACES, type Pace, sendRaw} from '../raw.ts';
import {getEntry} from '../requests.ts';
import type {Input, InputResult, Surface} from '../surface.ts';

type Draft = {
	readonly method: string;
	readonly target: string;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	readonly body: string;
};

const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS', 'TRACE', 'CONNECT', 'PATCH', 'PRI', 'M-SEARCH', 'get', 'X', ''];

const ODD_HEADERS: ReadonlyArray<readonly [string, string]> = [
	['content-length', '0'],
	['content-length', '5'],
	['content-length', '-1'],
	['content-length', '99999999999999999999'],
	['content-length', '1e3'],
	['content-length', '5, 6'],
	['transfer-encoding', 'chunked'],
	['transfer-encoding', 'gzip, chunked'],
	['transfer-encoding', 'chunked, identity'],
	['transfer-encoding', 'xchunked'],
	['expect', '100-continue'],
	['expect', 'nothing'],
	['upgrade', 'websocket'],
	['upgrade', 'h2c'],
	['connection', 'upgrade'],
	['connection', 'close'],
	['connection', 'keep-alive, host, x-request-id'],
	['connection', 'content-length'],
	['host', ''],
	['host', 'a:b:c'],
	['host', '[::1'],
	['host', 'x'.repeat(5000)],
	['te', 'trailers'],
	['trailer', 'content-length'],
	['request-timeout-ms', '0'],
	['request-timeout-ms', '1'],
	['request-timeout-ms', '1e9'],
	['request-timeout-ms', '999999999'],
	['idempotency-key', ''],
	['idempotency-key', '"'],
	['idempotency-key', 'k'.repeat(256)],
	['idempotency-key', '__proto__'],
	['wagtailroute-organisation', '__proto__'],
	['wagtailroute-organisation', 'o'.repeat(300)],
	['wagtailroute-organisation', 'constructor'],
	['wagtailroute-forwarded-by', 'x'],
	['wagtailroute-outcome', 'ran'],
	['wagtailroute-retry', '-1'],
	['retry-attempt', 'x'],
	['x-many', 'y'.repeat(17_000)],
	['range', 'bytes=0-0'],
	['content-encoding', 'br'],
	['cookie', '\u{0}'],
	['x\u{0}', 'y'],
	['x y', 'z'],
	['', 'z'],
];

const ODD_TARGETS = [
	'*',
	'/',
	'//',
	'//a',
	'http://[',
	'http://x/.wagtailroute/addresses',
	'/%',
	'/%00',
	'/%ff%fe',
	'/..',
	'/../../etc',
	'/?',
	'/#',
	`/${'a'.repeat(9000)}`,
	`/${DECOY_SERVICE}?${'q=1&'.repeat(2500)}`,
	'/\u{E9}',
	'/.wagtailroute',
	'/.wagtailroute/',
	'/.wagtailroute/addresses/',
	`/${DECOY_SERVICE}/../${GOOD_SERVICE}`,
	'x',
	'',
];

function pickHeaders(random: utils.Random): Array<readonly [string, string]> {
	const headers: Array<readonly [string, string]> = [];
	while (random() < 0.45) {
		headers.push(pick(random, ODD_HEADERS));
	}

	return headers;
}

function format(draft: Draft, random: utils.Random): Buffer {
	const isChunked = draft.headers.some(([name, value]) => name === 'transfer-encoding' && value.includes('chunked'));
	const size = draft.body.length.toString(16);
	const body = isChunked ? `${size}\r\n${draft.body}\r\n0\r\n${random() < 0.2 ? 'x-trailer: y\r\n' : ''}\r\n` : draft.body;
	const lines = draft.headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const version = random() < 0.95 ? 'HTTP/1.1' : pick(random, ['HTTP/1.0', 'HTTP/2.0', 'HTTP/0.9', 'HTP/1.1', '']);
	return Buffer.from(`${draft.method} ${draft.target} ${version}\r\n${lines}\r\n${body}`, 'latin1');
}

function createRawInput(random: utils.Random, to: core.Address, bytes: Buffer, read: (text: string) => InputResult): Input {
	const pace = pick(random, ALL_PACES);
	return {
		text: describeInput(pace, bytes),
		run: async () => read(await sendRaw(to, bytes, pace)),
	};
}

function describeInput(pace: Pace, bytes: Buffer): string {
	return `${pace} ${JSON.stringify(bytes.toString('latin1').slice(0, 4000))}`;
}

/**
Changes parts, bytes, both, or nothing.
*/
function createBytes(random: utils.Random, draft: Draft): Buffer {
	const changed: Draft = {
		method: random() < 0.1 ? pick(random, METHODS) : draft.method,
		target: random() < 0.15 ? pick(random, ODD_TARGETS) : draft.target,
		headers: [...draft.headers, ...pickHeaders(random)],
		body: draft.body,
	};
	const bytes = format(changed, random);
	return random() < 0.5 ? mutateBytes(random, bytes) : bytes;
}

function countOf(text: string, part: string): number {
	return text.split(part).length - 1;
}

const createTrafficInput: Surface['createInput'] = (random, place, number) => {
	// A changed name must not be that of another input.
	const name = `fuzz-${number}-${Math.floor(random() * (2 ** 32)).toString(36)}`;
	const isPost = random() < 0.5;
	const body = isPost ? 'b'.repeat(pick(random, [0, 1, 100, 70_000])) : '';
	const draft: Draft = {
		method: isPost ? 'POST' : 'GET',
		target: `/${GOOD_SERVICE}${isPost ? '/keyed' : ''}/${number}`,
		headers: [
			['host', 'fuzz'],
			['x-request-id', name],
			...isPost ? [['idempotency-key', name], ['content-length', String(body.length)]] as const : [],
		],
		body,
	};
	const one = createBytes(random, draft);
	const bytes = random() < 0.1 ? Buffer.concat([one, one, createBytes(random, draft)]) : one;
	const isSingle = countOf(bytes.toString('latin1'), name) <= 2 && countOf(bytes.toString('latin1'), 'HTTP/') === 1;
	return createRawInput(random, place.traffic, bytes, text => {
		const isNotRun = isSingle && countOf(text, 'HTTP/1.1 ') === 1 && countOf(text.toLowerCase(), 'wagtailroute-outcome: not-run') === 1;
		return isNotRun ? {notRun: name} : {};
	});
};

const ANNOUNCEMENT = {
	ip: '127.0.0.1', port: 9, failureDomain: 'fuzz', slots: 4, connections: 4, state: 'serving',
};

const createAnnouncementInput: Surface['createInput'] = (random, place, number) => {
	const isPut = random() < 0.8;
	const announcement = random() < 0.7 ? mutateJson(random, ANNOUNCEMENT) : ANNOUNCEMENT;
	const body = isPut ? JSON.stringify(announcement) : '';
	const changed = random() < 0.3 ? mutateText(random, body) : body;
	const id = pick(random, [`u-${number}`, 'u-1', '__proto__', '%', '%00', '%2F', 'a'.repeat(300), mutateText(random, 'u-2')]);
	const service = random() < 0.85 ? DECOY_SERVICE : pick(random, ['absent', '__proto__', '%', 'a'.repeat(300)]);
	const draft: Draft = {
		method: isPut ? 'PUT' : 'DELETE',
		target: `/.wagtailroute/services/${service}/upstreams/${id}`,
		headers: [['host', 'fuzz'], ['content-length', String(Buffer.byteLength(changed, 'latin1'))]],
		body: changed,
	};
	const bytes = random() < 0.8 ? format(draft, random) : createBytes(random, draft);
	return createRawInput(random, place.traffic, bytes, () => ({}));
};

const createDirectoryInput: Surface['createInput'] = (random, place) => {
	const service = pick(random, [GOOD_SERVICE, DECOY_SERVICE, 'absent', '__proto__', '%', '%ff', '', 'a'.repeat(3000), mutateText(random, GOOD_SERVICE)]);
	const query = pick(random, [`service=${service}`, `service=${service}&service=x`, '', `=${service}`, `%=${service}`, mutateText(random, `service=${service}`)]);
	const draft: Draft = {
		method: 'GET', target: `/.wagtailroute/addresses?${query}`, headers: [['host', 'fuzz']], body: '',
	};
	const bytes = random() < 0.6 ? format(draft, random) : createBytes(random, draft);
	return createRawInput(random, place.traffic, bytes, () => ({}));
};

const ADMIN_READS = [
	'/healthz',
	'/fleet',
	'/catalogue',
	'/catalogue/decoy',
	'/catalogue/decoy/history',
	'/catalogue/decoy/in-force',
	'/services/decoy/upstreams',
	'/services/__proto__/upstreams',
	'/catalogue/__proto__',
	'/catalogue/%',
	'/catalogue/%00/history',
	'/report/burn',
	'/report/burn?window=5m',
	'/report/burn?window=-1',
	'/report/burn?window=1e9d',
	'/report/burn?window=%00',
	'/report/burn?format=html',
	'//',
	'//x',
	'/%',
	'?',
	'http://[',
];

// Few names, so that the entries taken stay few.
const ENTRY_NAMES = ['decoy-1', 'decoy-2', 'decoy-3', 'decoy-4'];

function createEntryText(random: utils.Random, name: string): string {
	const entry = random() < 0.8 ? mutateJson(random, getEntry(name)) : getEntry(name);
	const text = JSON.stringify(entry) ?? '';
	return random() < 0.3 ? mutateText(random, text) : text;
}

const YAMLS = [
	'a: &a [1]\nb: *a',
	'['.repeat(5000),
	'!!js/function "x"',
	'? a\n: b',
	'a: !!binary x',
	'--- 1\n--- 2',
	'&a {<<: *a}',
	String.raw`"\u0000"`,
	'- - - -',
	'%YAML 9.9\n---\na',
	'a: {'.repeat(3000),
	'name: decoy-1\nowner: [',
	'\t- x',
	'a: 0x1F\nb: .inf\nc: .nan',
	'name: 2001-01-01',
];

const createAdminInput: Surface['createInput'] = (random, place, number) => {
	const isRead = random() < 0.3;
	const name = pick(random, ENTRY_NAMES);
	const isPut = random() < 0.85;
	const text = random() < 0.15 ? pick(random, YAMLS) : createEntryText(random, name);
	const body = isRead || !isPut ? '' : text;
	const changeId = pick(random, [`c-${number}`, `c-${number}`, 'c-1', '', '__proto__', 'x'.repeat(129), '\u{E9}']);
	const revision = pick(random, ['"1"', '"2"', '"999999999999999"', '"-1"', '1', '*', 'W/"1"', '"1e9"', `"${1 + (number % 50)}"`]);
	const token = pick(random, [`Bearer ${TOKEN}`, `Bearer ${TOKEN}`, `Bearer ${TOKEN}`, `Bearer ${TOKEN}`, 'Bearer x', '', `Basic ${TOKEN}`]);
	const path = random() < 0.9 ? `/catalogue/${name}` : mutateText(random, `/catalogue/${name}`);
	const mutating = isPut ? 'PUT' : 'DELETE';
	const draft: Draft = {
		method: isRead ? 'GET' : mutating,
		target: isRead ? pick(random, ADMIN_READS) : path,
		headers: [
			['host', 'fuzz'],
			['authorization', token],
			['content-type', pick(random, ['application/json', 'application/json', 'application/yaml', 'text/plain', ''])],
			['change-id', changeId],
			random() < 0.5 ? ['if-none-match', '*'] : ['if-match', revision],
			['content-length', String(Buffer.byteLength(body, 'latin1'))],
		],
		body,
	};
	const bytes = random() < 0.75 ? format(draft, random) : createBytes(random, draft);
	const pace = pick(random, ALL_PACES);
	const mustBeAnswered = pace === 'whole' && isPlainRead(bytes);
	return {
		text: describeInput(pace, bytes),
		async run() {
			const answer = await sendRaw(place.admin, bytes, pace, mustBeAnswered ? GOOD_MILLISECONDS : INPUT_MILLISECONDS);
			return mustBeAnswered && answer === '' ? {faults: ['a well-formed request got no answer']} : {};
		},
	};
};

const WELL_FORMED = /^(?:GET|PUT|DELETE) \/[\u{21}-\u{7E}]* HTTP\/1\.1\r\n/v;

/**
A well-formed request that the admin port cuts off without a word leaves an operator without a reason.
*/
function isPlainRead(bytes: Buffer): boolean {
	const text = bytes.toString('latin1');
	return WELL_FORMED.test(text) && !text.includes('\0') && text.startsWith('GET ') && text.endsWith('\r\n\r\n') && countOf(text, 'HTTP/') === 1;
}

/**
The surfaces.
*/
export const HTTP_SURFACES: readonly Surface[] = [
	{name: 'traffic', needsTarget: true, createInput: createTrafficInput},
	{name: 'announcements', needsTarget: true, createInput: createAnnouncementInput},
	{name: 'directory', needsTarget: true, createInput: createDirectoryInput},
	{name: 'admin', needsTarget: true, createInput: createAdminInput},
];

