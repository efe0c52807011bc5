/**
The measured figures that the page rests on: the results of `npm run bench` in `docs/data/`, and a few measured by the
command itself.
*/
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import {measureBareNode} from './bare-node.ts';
import {measureDetection} from './detection.ts';
import {simulateGossip} from './gossip.ts';
import {measureShares} from './shares.ts';
import {
	at,
	fit,
	type Line,
	type Row,
} from './slopes.ts';

/**
A kept result of a bench.
*/
export type BenchData = {
	readonly date: string;
	readonly machine: {readonly processor?: string; readonly cores: number; readonly loadAverage: number; readonly node: string};
	readonly title: string;
	readonly rows: readonly Row[];
	readonly broken: readonly string[];
};

/**
Result of the experiment `overhead`.
*/
export type OverheadData = {
	readonly rate: number;
	readonly residentMegabytes: number;
	readonly rounds: ReadonlyArray<{readonly addedP50: number; readonly addedP99: number}>;
	readonly rates: ReadonlyArray<{readonly offered: number; readonly answered: number; readonly p99: number; readonly cores: number}>;
};

/**
Everything that was measured.
*/
export type Facts = {
	readonly benches: ReadonlyMap<string, BenchData>;
	readonly overhead?: OverheadData;
	readonly detection: readonly Row[];
	readonly shares: readonly Row[];
	readonly bareNode: readonly Row[];
	readonly gossip: readonly Row[];
};

/**
Names of the benches that the page uses.
*/
export const BENCHES = [
	'peer-peer',
	'peer-alone',
	'membership-restarts',
	'membership-membership',
	'announcements-holders',
	'assignment-assignment',
	'assignment-directory',
	'catalogue-catalogue',
	'catalogue-memory',
	'replication-replication',
	'records-claims',
	'admission-organisations',
	'report-report',
	'detection-detection-cost',
] as const;

/**
Reads what the benches kept and measures the rest.
*/
export async function collectFacts(folder: string): Promise<Facts> {
	const benches = new Map<string, BenchData>();
	for (const name of BENCHES) {
		// eslint-disable-next-line no-await-in-loop -- A few small files.
		const data = await read<BenchData>(path.join(folder, `${name}.json`));
		if (data !== undefined) {
			benches.set(name, data);
		}
	}

	return {
		benches,
		overhead: await read<OverheadData>(path.join(folder, 'overhead.json')),
		detection: measureDetection(),
		shares: measureShares(),
		bareNode: await measureBareNode(),
		gossip: simulateGossip(),
	};
}

async function read<Content>(file: string): Promise<Content | undefined> {
	try {
		return JSON.parse(await fs.readFile(file, 'utf8')) as Content;
	} catch {
		return undefined;
	}
}

/**
Names the rows of a bench; those of one measure, when it has several.
*/
export type Source = typeof BENCHES[number] | `${typeof BENCHES[number]}:${string}`;

/**
Rows of a source.
*/
export function getRows(facts: Facts, source: Source): readonly Row[] | undefined {
	const [name = '', measure] = source.split(':', 2);
	return facts.benches.get(name)?.rows.filter(row => measure === undefined || row.measure === measure);
}

/**
The line through two columns of a source.
*/
export function getLine(facts: Facts, source: Source, [x, y]: readonly [string, string]): Line | undefined {
	return fit(getRows(facts, source), x, y);
}

/**
What the line through two columns of a source gives at a size.
*/
export function getAt(facts: Facts, source: Source, columns: readonly [string, string], size: number): number | undefined {
	return at(getLine(facts, source, columns), size);
}
