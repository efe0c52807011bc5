/**
Fuzzes by command: `main.ts [--seconds N] [--seed S] [--surface NAME] [--from N --inputs N]`. Prints one line of JSON for each
surface; the exit code is 1 when anything was found.
*/
import process from 'node:process';
import * as util from 'node:util';
import {type Campaign, runCampaign} from './campaign.ts';
import {FIRST_PORT} from './constants.ts';
import {closeConnections} from './fleet-client.ts';
import type {Surface} from './surface.ts';
import {SURFACES} from './surfaces.ts';
import {createPlace} from './target.ts';
import {startTarget} from './target-process.ts';

const {values} = util.parseArgs({
	options: {
		seconds: {type: 'string', default: '60'},
		seed: {type: 'string', default: '1'},
		surface: {type: 'string'},
		from: {type: 'string', default: '0'},
		inputs: {type: 'string'},
		batch: {type: 'string', default: '160'},
		port: {type: 'string', default: String(FIRST_PORT)},
	},
});

async function fuzz(surface: Surface, milliseconds: number): Promise<Campaign> {
	const port = Number(values.port);
	const target = surface.needsTarget ? await startTarget(port) : undefined;
	const endAt = performance.now() + milliseconds;
	const most = values.inputs === undefined ? Infinity : Number(values.inputs);
	try {
		return await runCampaign({
			surface,
			place: createPlace(port),
			target,
			seed: Number(values.seed),
			from: Number(values.from),
			batchInputs: Number(values.batch),
			goesOn: inputs => inputs < most && performance.now() < endAt,
		});
	} finally {
		await target?.close();
		await closeConnections();
	}
}

const chosen = values.surface === undefined ? SURFACES.values().toArray() : [SURFACES.get(values.surface)].filter(surface => surface !== undefined);
if (chosen.length === 0) {
	console.error(`fuzz: ${values.surface} is not one of ${SURFACES.keys().toArray().join(', ')}`);
	process.exitCode = 2;
}

for (const surface of chosen) {
	// eslint-disable-next-line no-await-in-loop -- One target at a time.
	const campaign = await fuzz(surface, Number(values.seconds) * 1000 / chosen.length);
	console.log(JSON.stringify(campaign));
	process.exitCode = campaign.findings.length > 0 ? 1 : process.exitCode;
}
