/**
A campaign: inputs of one surface in batches, the target examined after each.

Each input has its number, and its random numbers follow from seed and number, so one input can be sent again alone.
*/
import * as crypto from 'node:crypto';
import * as utils from 'wagtailroute-utils';
import {
	BATCH_INPUTS,
	MAXIMUM_ADDED_MEMBERS,
	MAXIMUM_HEAP_GROWTH_BYTES,
	MAXIMUM_RESIDENT_GROWTH_BYTES,
	WARM_BATCHES,
} from './constants.ts';
import {type Examination, examine} from './examination.ts';
import type {Input, InputResult, Surface} from './surface.ts';
import type {Place, Sample, Target} from './target.ts';

/**
What a campaign is made of.
*/
export type CampaignPlan = {
	readonly surface: Surface;
	readonly place: Place;
	/**
	Absent for a surface that needs none.
	*/
	readonly target?: Target;
	readonly seed: number;
	/**
	Number of the first input.
	*/
	readonly from?: number;
	/**
	Inputs sent side by side before the target is examined.
	*/
	readonly batchInputs?: number;
	/**
	Says whether a further batch begins, by the number of inputs sent.
	*/
	readonly goesOn: (inputs: number) => boolean;
};

/**
Something wrong, with the inputs after which it was seen.
*/
export type Finding = {
	readonly faults: readonly string[];
	readonly inputs: ReadonlyArray<{readonly number: number; readonly text: string}>;
};

type Memory = Pick<Sample, 'residentBytes' | 'heapBytes'>;

const SKIPPED_NUMBERS = 8;

const NO_MEMORY: Memory = {residentBytes: 0, heapBytes: 0};

/**
What a campaign came to. Memory is that of the target once it was warm, and at the end.
*/
export type Campaign = {
	readonly surface: string;
	readonly seed: number;
	readonly inputs: number;
	readonly findings: readonly Finding[];
	readonly warm: Memory;
	readonly end: Memory;
	readonly members: number;
};

/**
The generator's first numbers are alike for all small seeds: every input would be of the same kind. So its seed is a digest.
*/
function createInput({surface, place, seed}: CampaignPlan, number: number): Input {
	const digest = crypto.createHash('sha256').update(`${surface.name} ${seed} ${number}`).digest();
	const random = utils.createRandom(digest.readInt32LE());
	for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) {
		random();
	}

	return surface.createInput(random, place, number);
}

type NumberedInput = Input & {readonly number: number};

function createBatch(plan: CampaignPlan, first: number): readonly NumberedInput[] {
	return Array.from({length: plan.batchInputs ?? BATCH_INPUTS}, (_, index) => ({number: first + index, ...createInput(plan, first + index)}));
}

/**
Runs a campaign; it ends at the first finding of the target, as nothing after it can be trusted.
*/
export async function runCampaign(plan: CampaignPlan): Promise<Campaign> {
	const findings: Finding[] = [];
	const first = plan.from ?? 0;
	let next = first;
	let warm = NO_MEMORY;
	let end = NO_MEMORY;
	let members = 0;
	for (let batch = 0; findings.length === 0 && plan.goesOn(next - first); batch++) {
		const inputs = createBatch(plan, next);
		// eslint-disable-next-line no-await-in-loop -- The target is examined between batches.
		const results = await Promise.all(inputs.map(async input => input.run()));
		next += inputs.length;
		findings.push(...findInAnswers(inputs, results));
		if (plan.target === undefined) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- See above.
		const examination = await examine(plan.target);
		end = getMemory(examination);
		warm = batch <= WARM_BATCHES ? end : warm;
		members = examination.members;
		const faults = [...examination.faults, ...findInTables(examination, warm), ...findWrongRuns(results, examination)];
		if (faults.length > 0) {
			findings.push({faults, inputs});
		}
	}

	return {
		surface: plan.surface.name, seed: plan.seed, inputs: next - first, findings: findings.map(finding => trim(finding)), warm, end, members,
	};
}

function trim({faults, inputs}: Finding): Finding {
	return {faults, inputs: inputs.map(({number, text}) => ({number, text}))};
}

function findInAnswers(inputs: readonly NumberedInput[], results: readonly InputResult[]): readonly Finding[] {
	return results.flatMap(({faults = []}, index) => faults.length === 0 ? [] : [{faults, inputs: [inputs[index]!]}]);
}

function getMemory({sample}: Examination): Memory {
	return sample === undefined ? NO_MEMORY : {residentBytes: sample.residentBytes, heapBytes: sample.heapBytes};
}

function findInTables(examination: Examination, warm: Memory): readonly string[] {
	const {residentBytes, heapBytes} = getMemory(examination);
	return [
		residentBytes - warm.residentBytes > MAXIMUM_RESIDENT_GROWTH_BYTES ? `resident memory grew from ${warm.residentBytes} to ${residentBytes} bytes` : '',
		heapBytes - warm.heapBytes > MAXIMUM_HEAP_GROWTH_BYTES ? `the heap grew from ${warm.heapBytes} to ${heapBytes} bytes` : '',
		examination.members > MAXIMUM_ADDED_MEMBERS ? `${examination.members} hosts are listed` : '',
	].filter(fault => fault !== '');
}

function findWrongRuns(results: readonly InputResult[], {sample}: Examination): readonly string[] {
	const ran = new Set(sample?.ran);
	return results
		.filter(({notRun}) => notRun !== undefined && ran.has(notRun))
		.map(({notRun}) => `${notRun} was told not-run and ran`);
}
