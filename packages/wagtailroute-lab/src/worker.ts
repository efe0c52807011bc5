/**
Plays some seeds of one scenario under one variant, and tells the figures to the process that started it.
*/
import process from 'node:process';
import type {Task} from './campaign.ts';
import {playDay} from './day.ts';
import {loadScenario} from './scenario.ts';
import type {Figures} from './tally.ts';
import {findVariant} from './variants.ts';

const {scenario: name, variant, firstSeed, seeds} = JSON.parse(process.argv[2]!) as Task;
const loaded = await loadScenario(name);
const scenario = loaded.unwrap();
const played: Figures[] = [];
for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
	// eslint-disable-next-line no-await-in-loop -- Days share nothing but the processor.
	played.push(await playDay(scenario, findVariant(variant).unwrap(), seed));
}

process.send!(played);
