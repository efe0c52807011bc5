import {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as replication from '../../index.ts';
import * as fakeDisk from './fake-disk.ts';

const SEED = 20_250;
const INITIAL_STATE = replication.createDurableState('a~1', [{id: 'a~1', role: 'voter'}]);

function createWrite(sequence: number, hasSnapshot: boolean): replication.Write {
	const entry: replication.Entry = {
		index: sequence, term: 1, kind: 'command', value: 'x'.repeat(sequence % 7), bytes: 8,
	};
	const snapshot: replication.Snapshot = {
		index: sequence, term: 1, members: INITIAL_STATE.snapshot.members, state: {sequence}, bytes: 8,
	};
	return {
		sequence, term: 1, votedFor: 'a~1', commit: sequence, from: sequence, entries: [entry], ...(hasSnapshot && {snapshot}),
	};
}

async function createStoreWith(disk: fakeDisk.FakeDisk, writes: readonly replication.Write[]) {
	const store = replication.createDurableStore('folder', disk);
	await store.load();
	let state: replication.DurableState | undefined;
	let next: replication.DurableState = INITIAL_STATE;
	const created = await store.create(INITIAL_STATE);
	let isDone = created.isOk();
	state = isDone ? INITIAL_STATE : undefined;
	for (const write of writes) {
		if (!isDone) {
			break;
		}

		next = replication.applyWrite(next, write);
		const written = await store.write([write]); // eslint-disable-line no-await-in-loop -- one after another.
		isDone = written.isOk();
		state = isDone ? next : state;
	}

	return {store, confirmed: state, attempted: next};
}

// Guards against confirming a write before it is synced, and against treating a torn record as corruption: a write, sync, rename
// or folder sync fails (EIO, ENOSPC), the process ends, and any part of the unsynced data reaches the disk.
test('a crash at any operation keeps what was confirmed', async t => {
	t.log(`fast-check seed ${SEED}`);
	const cases = fc.record({
		failAt: fc.integer({min: 1, max: 60}),
		code: fc.constantFrom('EIO', 'ENOSPC'),
		snapshots: fc.array(fc.boolean(), {minLength: 1, maxLength: 20}),
		seed: fc.integer(),
	});
	const property = fc.asyncProperty(cases, async ({failAt, code, snapshots, seed}) => {
		const disk = Object.assign(fakeDisk.createFakeDisk(), {failAt, code});
		const writes = snapshots.map((hasSnapshot, at) => createWrite(at + 1, hasSnapshot));
		const {store, confirmed, attempted} = await createStoreWith(disk, writes);
		const isFailed = disk.operations >= failAt;
		// After a failure the store confirms nothing more.
		const later = await store.write([createWrite(99, false)]);
		disk.crash(utils.createRandom(seed));
		const loaded = await replication.createDurableStore('folder', disk).load();
		const text = JSON.stringify(loaded.unwrap());
		const possible = isFailed ? [confirmed, attempted] : [attempted, replication.applyWrite(attempted, createWrite(99, false))];
		return later.isErr() >= isFailed && possible.some(state => JSON.stringify(state) === text);
	});
	await t.notThrowsAsync(fc.assert(property, {seed: SEED, numRuns: 2000}));
});

// Guards against losing acknowledged entries on a restart: a synced record in the middle or at the end of the file is corrupted,
// and is truncated as if it were torn.
test('corruption of any synced byte is reported', async t => {
	const disk = fakeDisk.createFakeDisk();
	await createStoreWith(disk, [1, 2, 3].map(sequence => createWrite(sequence, false)));
	const file = disk.getFile();
	const whole = file.content;
	for (const at of whole.keys()) {
		file.content = Buffer.from(whole);
		file.content[at] = 255 - whole[at]!;
		const loaded = await replication.createDurableStore('folder', disk).load(); // eslint-disable-line no-await-in-loop -- one file.
		t.is(loaded.isErr() && loaded.error.kind, 'corrupt', `byte ${at}`);
	}
});

// Guards against a host that doesn't start after a power failure: any number of bytes of the last record reached the disk, and
// the torn record is treated as corruption.
test('a record torn at any byte is truncated', async t => {
	const disk = fakeDisk.createFakeDisk();
	await createStoreWith(disk, [createWrite(1, false)]);
	const file = disk.getFile();
	const before = file.content.length;
	await createStoreWith(disk, [createWrite(1, false), createWrite(2, false)]);
	const whole = disk.getFile().content;
	for (let length = before; length < whole.length; length++) {
		disk.getFile().content = whole.subarray(0, length);
		const loaded = await replication.createDurableStore('folder', disk).load(); // eslint-disable-line no-await-in-loop -- one file.
		t.is(loaded.unwrap()?.entries.length, 1, `${length} bytes`);
		t.is(disk.getFile().content.length, before);
	}
});

test('a state on the real disk survives a restart', async t => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'replication-'));
	const store = replication.createDurableStore(path.join(folder, 'g'));
	const empty = await store.load();
	t.is(empty.unwrap(), undefined);
	const done = [
		await store.create(INITIAL_STATE),
		await store.write([createWrite(1, false), createWrite(2, true), createWrite(3, false)]),
		await store.write([createWrite(4, false)]),
	];
	t.true(done.every(written => written.isOk()));
	await store.close();
	const again = replication.createDurableStore(path.join(folder, 'g'));
	const restored = await again.load();
	const loaded = restored.unwrap()!;
	t.deepEqual(loaded.entries.map(entry => entry.index), [3, 4]);
	t.is(loaded.snapshot.index, 2);
	await again.close();
	await fs.rm(folder, {recursive: true});
});

const DAMAGES: ReadonlyArray<readonly [title: string, damage: (records: readonly Buffer[]) => readonly Buffer[]]> = [
	['missing in the middle', ([first, , ...others]) => [first!, ...others]],
	['duplicated in place', ([first, second, ...others]) => [first!, second!, second!, ...others]],
	['repeated at the end', records => [...records, records[1]!]],
	['swapped with the next', ([first, second, third, ...others]) => [first!, third!, second!, ...others]],
	['joined with the next by a zero byte', records => records.map((record, at) => (
		at === records.length - 2 ? Buffer.concat([record.subarray(0, -1), Buffer.from([0])]) : record
	))],
];

for (const [title, damage] of DAMAGES) {
	// Guards against a restart with an inconsistent state: whole records are lost, repeated or reordered by the disk or by a
	// copy of the file, which checksums of single records don't detect.
	test(`a whole record ${title} is reported`, async t => {
		const disk = fakeDisk.createFakeDisk();
		await createStoreWith(disk, [1, 2, 3].map(sequence => createWrite(sequence, false)));
		const file = disk.getFile();
		const lines = file.content.toString().trimEnd().split('\n').map(line => Buffer.from(`${line}\n`));
		file.content = Buffer.concat(damage(lines));
		const loaded = await replication.createDurableStore('folder', disk).load();
		t.is(loaded.isErr() && loaded.error.kind, 'corrupt');
	});
}
