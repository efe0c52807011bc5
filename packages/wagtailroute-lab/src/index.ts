/**
A laboratory of policies: the real dispatching over virtual hosts and backend servers, many days in seconds.
*/
export {createLabCli} from './commands.ts';
export {compare, type ComparedFigure, type Estimate} from './comparison.ts';
export {playDay} from './day.ts';
export {
	listScenarios,
	loadScenario,
	parseScenario,
	type Scenario,
	type ScenarioSpell,
} from './scenario.ts';
export type {Figures} from './tally.ts';
export {findVariant, MECHANISMS, type Variant} from './variants.ts';
