/**
Seeded changes to valid messages: of bytes, of text and of JSON values.

Inputs are valid ones with a few changes, as random bytes rarely get past the first check.
*/
import {Buffer} from 'node:buffer';
import * as utils from 'wagtailroute-utils';

/**
Picks one of several.
*/
export function pick<Item>(random: utils.Random, items: readonly Item[]): Item {
	return items[utils.pickIndex(random, items.length)]!;
}

const MAXIMUM_BLOCK = 64;
const BYTE_RANGE = 256;

type ByteMutation = (random: utils.Random, bytes: Buffer) => Buffer;

const BYTE_MUTATIONS: readonly ByteMutation[] = [
	// Flips a bit.
	(random, bytes) => {
		const changed = Buffer.from(bytes);
		if (changed.length > 0) {
			const at = utils.pickIndex(random, changed.length);
			const flipped = 2 ** utils.pickIndex(random, 8);
			// eslint-disable-next-line no-bitwise -- Flips one bit.
			changed[at] = changed[at]! ^ flipped;
		}

		return changed;
	},
	// Replaces a byte, often by one that ends something.
	(random, bytes) => {
		const changed = Buffer.from(bytes);
		if (changed.length > 0) {
			changed[utils.pickIndex(random, changed.length)] = pick(random, [0, 10, 13, 32, 58, 127, 255, utils.pickIndex(random, BYTE_RANGE)]);
		}

		return changed;
	},
	// Cuts the tail.
	(random, bytes) => bytes.subarray(0, utils.pickIndex(random, bytes.length + 1)),
	// Removes a block.
	(random, bytes) => {
		const [from, until] = pickBlock(random, bytes);
		return Buffer.concat([bytes.subarray(0, from), bytes.subarray(until)]);
	},
	// Repeats a block.
	(random, bytes) => {
		const [from, until] = pickBlock(random, bytes);
		return Buffer.concat([bytes.subarray(0, until), bytes.subarray(from, until), bytes.subarray(until)]);
	},
	// Puts something in.
	(random, bytes) => {
		const at = utils.pickIndex(random, bytes.length + 1);
		return Buffer.concat([bytes.subarray(0, at), Buffer.from(pick(random, INSERTIONS), 'latin1'), bytes.subarray(at)]);
	},
];

const INSERTIONS = [
	'\0',
	'\r\n',
	'\n',
	'\r\n\r\n',
	'%',
	'%00',
	'%2e%2e',
	'../',
	'//',
	'?',
	'#',
	'"',
	'{',
	'[',
	',',
	':',
	' ',
	'\t',
	'-1',
	'99999999999999999999',
	'\u{FF}',
	'__proto__',
	'a'.repeat(20_000),
];

function pickBlock(random: utils.Random, bytes: Buffer): readonly [from: number, until: number] {
	const from = utils.pickIndex(random, bytes.length + 1);
	return [from, Math.min(bytes.length, from + 1 + utils.pickIndex(random, MAXIMUM_BLOCK))];
}

/**
Changes bytes once.
*/
export function mutateBytesOnce(random: utils.Random, bytes: Buffer): Buffer {
	return pick(random, BYTE_MUTATIONS)(random, bytes);
}

/**
Changes bytes once to three times.
*/
export function mutateBytes(random: utils.Random, bytes: Buffer): Buffer {
	let changed = bytes;
	for (let left = 1 + utils.pickIndex(random, 3); left > 0; left--) {
		changed = mutateBytesOnce(random, changed);
	}

	return changed;
}

/**
Changes text as its Latin-1 bytes.
*/
export function mutateText(random: utils.Random, text: string): string {
	return mutateBytes(random, Buffer.from(text, 'latin1')).toString('latin1');
}

type Json = unknown;

const ODD_VALUES: readonly Json[] = [

	null,
	true,
	false,
	0,
	-1,
	1.5,
	65_536,
	2 ** 31,
	2 ** 32,
	2 ** 53,
	-(2 ** 53),
	1e308,
	'',
	' ',
	'\0',
	'x',
	'__proto__',
	'constructor',
	'%',
	'/',
	':',
	'1',
	'a'.repeat(5000),
	[],
	{},
	[[]],
	[null],
	{kind: 'x'},
	{length: 1e9},
	[1, 'a', {}],
];

type Kind = 'null' | 'boolean' | 'number' | 'string' | 'array' | 'object';

function getKind(value: Json): Kind {
	if (value === null || value === undefined) {
		return 'null';
	}

	return Array.isArray(value) ? 'array' : typeof value as Kind;
}

/**
Changes the structure of a JSON value at one place: a member taken away, or a value of another type put in its place.
*/
export function breakJson(random: utils.Random, value: Json): Json {
	const children = getKeys(value);
	const isHere = children.length === 0 || random() < 0.1;
	if (isHere) {
		const others = ODD_VALUES.filter(odd => getKind(odd) !== getKind(value));
		return pick(random, others);
	}

	const key = pick(random, children);
	const isRemoved = random() < 0.3 && !Array.isArray(value);
	return isRemoved ? removeChild(value, key) : replaceChild(value, key, breakJson(random, getChild(value, key)));
}

/**
Changes a JSON value at one place to any other, its type perhaps kept.
*/
export function mutateJson(random: utils.Random, value: Json): Json {
	const children = getKeys(value);
	if (children.length === 0 || random() < 0.1) {
		return typeof value === 'string' && random() < 0.5 ? mutateText(random, value) : pick(random, ODD_VALUES);
	}

	const key = pick(random, children);
	return random() < 0.1 ? addChild(random, value) : replaceChild(value, key, mutateJson(random, getChild(value, key)));
}

function getKeys(value: Json): readonly string[] {
	return typeof value === 'object' && value !== null ? Object.keys(value) : [];
}

function getChild(value: Json, key: string): Json {
	return (value as Record<string, Json>)[key];
}

function removeChild(value: Json, key: string): Json {
	return Object.fromEntries(Object.entries(value as object).filter(([name]) => name !== key));
}

function replaceChild(value: Json, key: string, child: Json): Json {
	return Array.isArray(value)
		? value.map((item: Json, index) => String(index) === key ? child : item)
		: Object.fromEntries(Object.entries(value as object).map(([name, item]) => [name, name === key ? child : item as Json]));
}

function addChild(random: utils.Random, value: Json): Json {
	const added = pick(random, ODD_VALUES);
	return Array.isArray(value)
		? [...value as Json[], added]
		: Object.fromEntries([...Object.entries(value as object), [pick(random, ['__proto__', 'extra', 'kind', 'toString']), added]]);
}
