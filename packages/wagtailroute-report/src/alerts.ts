/**
Alerts on burn rates over several windows.
*/
import * as constants from './constants.ts';

/**
Burn rates by window: 1 spends exactly the whole budget over the objective's window.
*/
export type BurnRates = Readonly<Record<constants.BurnWindow, number>>;

/**
Bad requests by window.
*/
export type BadCounts = Readonly<Record<constants.BurnWindow, number>>;

/**
An alert that stands.
*/
export type Alert = {
	readonly name: (typeof constants.ALERT_RULES)[number]['name'];
	readonly severity: 'page' | 'ticket';
	/**
	Burn rate at which it stands.
	*/
	readonly threshold: number;
};

/**
Returns the alerts that stand. A rule whose long window is not shorter than the objective's says nothing that the budget left
does not say, and is passed over.
*/
export function findAlerts(burnRates: BurnRates, badCounts: BadCounts, windowDays: number): readonly Alert[] {
	const windowMilliseconds = windowDays * constants.DAY_MILLISECONDS;
	return constants.ALERT_RULES.flatMap(({name, severity, long, short, budgetShare}) => {
		const longMilliseconds = constants.BURN_WINDOWS[long];
		const threshold = budgetShare * windowMilliseconds / longMilliseconds;
		const isBurning = burnRates[long] >= threshold && burnRates[short] >= threshold;
		const isCounted = badCounts[short] >= constants.MINIMUM_ALERT_FAILURES;
		const stands = longMilliseconds < windowMilliseconds && isBurning && isCounted;
		return stands ? [{name, severity, threshold}] : [];
	});
}
