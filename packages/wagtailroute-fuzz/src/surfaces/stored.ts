/**
The stored file of a control host, damaged: loading it must give the state, a state whose last writes are cut off as a crash
would, or the typed failure; never a crash, never a state that was not.
*/
import {Buffer} from 'node:buffer';
import * as replication from 'wagtailroute-replication';
import * as utils from 'wagtailroute-utils';
import {mutateBytes, mutateBytesOnce} from '../mutations.ts';
import type {InputResult, Surface} from '../surface.ts';

type MemoryDisk = replication.Disk & {readonly files: Map<string, Buffer>};

function createMemoryDisk(): MemoryDisk {
	const files = new Map<string, Buffer>();
	return {
		files,
		async createFolder() {
			// One folder is enough.
		},
		read: async file => files.get(file),
		async open(file, isNew) {
			let content = (isNew ? undefined : files.get(file)) ?? Buffer.alloc(0);
			files.set(file, content);
			return {
				async append(bytes) {
					content = Buffer.concat([content, bytes]);
					files.set(file, content);
					files.set('folder/replica.records', content);
				},
				async sync() {
					// Memory needs none.
				},
				async close() {
					// Nothing to free.
				},
			};
		},
		async truncate(file, length) {
			files.set(file, files.get(file)!.subarray(0, length));
		},
		async rename(from, to) {
			files.set(to, files.get(from)!);
		},
		async syncFolder() {
			// Memory needs none.
		},
	};
}

const FILE = 'folder/replica.records';

/**
A stored file with the states that it has gone through: one more for each record.
*/
type Story = {readonly bytes: Buffer; readonly states: readonly string[]; readonly ends: readonly number[]};

function createWrite(random: utils.Random, sequence: number): replication.Write {
	const index = random() < 0.2 ? Math.max(1, sequence - 1) : sequence;
	return {
		sequence,
		term: 1 + Math.floor(sequence / 3),
		votedFor: random() < 0.5 ? 'a~1' : null,
		commit: Math.max(0, index - 1),
		...random() < 0.9 && {from: index},
		entries: [{
			index, term: 1 + Math.floor(sequence / 3), kind: 'command', value: {text: 'v'.repeat(utils.pickIndex(random, 40)), sequence}, bytes: 8,
		}],
	};
}

async function createStory(random: utils.Random): Promise<Story> {
	const disk = createMemoryDisk();
	const store = replication.createDurableStore('folder', disk);
	await store.load();
	let state = replication.createDurableState('a~1', [{id: 'a~1', role: 'voter'}]);
	await store.create(state);
	const states = [JSON.stringify(state)];
	const ends = [disk.files.get(FILE)!.length];
	const count = 1 + utils.pickIndex(random, 6);
	for (let sequence = 1; sequence <= count; sequence++) {
		const write = createWrite(random, sequence);
		state = replication.applyWrite(state, write);
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await store.write([write]);
		states.push(JSON.stringify(state));
		ends.push(disk.files.get(FILE)!.length);
	}

	return {bytes: disk.files.get(FILE)!, states, ends};
}

/**
Takes out or repeats whole records, which random offsets hardly ever hit.
*/
function damageRecords(random: utils.Random, {bytes, ends}: Story): Buffer {
	const at = utils.pickIndex(random, ends.length);
	const [from, until] = [ends[at - 1] ?? 0, ends[at]!];
	const to = random() < 0.5 ? until : ends[utils.pickIndex(random, ends.length)]!;
	return random() < 0.5
		? Buffer.concat([bytes.subarray(0, from), bytes.subarray(until)])
		: Buffer.concat([bytes.subarray(0, to), bytes.subarray(from, until), bytes.subarray(to)]);
}

/**
Returns the least number of states that must be left: damage before the last record must not pass for a torn write.
*/
function countLeast(story: Story, damaged: Buffer): number {
	const {bytes, ends} = story;
	return bytes.subarray(0, damaged.length).equals(damaged) ? ends.filter(end => end <= damaged.length).length : Math.max(1, ends.length - 1);
}

async function load(story: Story, damaged: Buffer, isOnce: boolean): Promise<InputResult> {
	const disk = createMemoryDisk();
	disk.files.set(FILE, damaged);
	const loaded = await replication.createDurableStore('folder', disk).load();
	if (loaded.isErr()) {
		return loaded.error.kind === 'corrupt' ? {} : {faults: [`failure ${loaded.error.kind}: ${loaded.error.message}`]};
	}

	const position = story.states.lastIndexOf(JSON.stringify(loaded.value));
	if (position === -1) {
		return {faults: ['a state that never was']};
	}

	// Damage to a file that was cut as well can't be told from a torn write.
	const least = isOnce ? countLeast(story, damaged) : 1;
	return position + 1 < least ? {faults: [`${position + 1} states are left of ${story.states.length}, ${least} were sure`]} : {};
}

/**
The first one damages at several places.
*/
const DAMAGES: ReadonlyArray<(random: utils.Random, story: Story) => Buffer> = [
	(random, {bytes}) => mutateBytes(random, bytes),
	(random, {bytes}) => mutateBytesOnce(random, bytes),
	damageRecords,
];

/**
The surface.
*/
export const STORED_SURFACE: Surface = {
	name: 'stored',
	needsTarget: false,
	createInput(random) {
		const storySeed = utils.pickIndex(random, 2 ** 30);
		const damageSeed = utils.pickIndex(random, 2 ** 30);
		return {
			text: `story ${storySeed}, damage ${damageSeed}`,
			async run() {
				const story = await createStory(utils.createRandom(storySeed));
				const damaging = utils.createRandom(damageSeed);
				const kind = Math.floor(damaging() * DAMAGES.length);
				return load(story, DAMAGES[kind]!(damaging, story), kind > 0);
			},
		};
	},
};
