/**
Memory that the catalogue keeps alive, measured after a collection: on every host (view and route index) and on a control
host (entries, history and kept answers), by the number of entries, and by the number of kept answers.
*/
import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as catalogue from '../index.ts';

const ENTRY_COUNTS = [700, 1700, 3400, 6900] as const;
const ANSWER_COUNTS = [2500, 5000, 10_000, 20_000] as const;
const ANSWER_ENTRY_COUNT = 100;
const ROUTES_PER_ENTRY = 7;

/**
Memory of an entry at the largest size over that at the smallest: it must grow in proportion.
*/
const MAX_GROWTH_RATIO = 1.5;

type Row = {
	readonly measure: 'entries' | 'answers';
	readonly count: number;
	readonly hostBytes: number;
	readonly controlBytes: number;
	readonly snapshotBytes: number;
	readonly snapshotMilliseconds: number;
};

/**
Measures all sizes.
*/
export async function run(): Promise<{title: string; rows: readonly Row[]; broken: readonly string[]}> {
	const rows = [...ENTRY_COUNTS.map(size => measureEntries(size)), ...ANSWER_COUNTS.map(count => measureAnswers(count))];
	const [first] = rows;
	const last = rows[ENTRY_COUNTS.length - 1]!;
	const ratio = (last.hostBytes / last.count) / (first!.hostBytes / first!.count);
	return {
		title: 'Catalogue: memory kept alive',
		rows,
		broken: ratio > MAX_GROWTH_RATIO ? [`an entry takes ${ratio.toFixed(2)} times the memory at the largest size`] : [],
	};
}

function measureEntries(count: number): Row {
	const control = measureHeap(() => createFilledCatalogue(count, count));
	const text = JSON.stringify(catalogue.getDelta(control.kept.getView(), -1));
	// Read once before the measurement, which would else count what reading it for the first time frees.
	JSON.parse(text);
	const host = measureHeap(() => {
		const view = catalogue.applyDelta(catalogue.EMPTY_VIEW, JSON.parse(text) as catalogue.Delta);
		const routes = catalogue.createRouteIndex();
		routes.applyViewChange(catalogue.EMPTY_VIEW, view);
		return {view, routes, text};
	});
	return {
		measure: 'entries', count, hostBytes: host.bytes, controlBytes: control.bytes, ...measureSnapshot(control.kept),
	};
}

function measureAnswers(count: number): Row {
	const control = measureHeap(() => createFilledCatalogue(ANSWER_ENTRY_COUNT, count));
	return {
		measure: 'answers', count, hostBytes: 0, controlBytes: control.bytes, ...measureSnapshot(control.kept),
	};
}

function measureSnapshot(control: catalogue.ReplicatedCatalogue): Pick<Row, 'snapshotBytes' | 'snapshotMilliseconds'> {
	const startedAt = performance.now();
	const text = JSON.stringify(control.takeSnapshot());
	return {snapshotBytes: text.length, snapshotMilliseconds: Math.round(performance.now() - startedAt)};
}

/**
Makes so many changes over so many entries, each of them parsed from text like one that came over the network.
*/
function createFilledCatalogue(entries: number, changes: number): catalogue.ReplicatedCatalogue {
	const control = catalogue.createReplicatedCatalogue();
	for (let change = 0; change < changes; change++) {
		const name = `service-${change % entries}`;
		const answer = control.apply({
			name,
			entry: createEntry(change % entries, name),
			expected: control.getView().entries.get(name)?.revision ?? 0,
			changeId: `change-${change}`,
			operator: 'bench',
			takenAt: change,
		});
		if (!answer.accepted) {
			throw new Error(`Change ${change} was refused: ${answer.failure.message}`);
		}
	}

	return control;
}

function createEntry(index: number, name: string): catalogue.Entry {
	return catalogue.parseEntry({
		name,
		owner: `owner-${index}`,
		routes: Array.from({length: ROUTES_PER_ENTRY}, (_, route) => ({
			host: `host-${index % 50}.example`,
			pathPrefix: `/service-${index}/part-${route}`,
			class: 'read',
		})),
	}).unwrap();
}

/**
Returns what was made and the heap that it keeps alive.
*/
function measureHeap<Kept>(create: () => Kept): {readonly kept: Kept; readonly bytes: number} {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const kept = create();
	collectGarbage();
	return {kept, bytes: process.memoryUsage().heapUsed - before};
}

function collectGarbage(): void {
	// The flag counts for contexts made after it.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}
