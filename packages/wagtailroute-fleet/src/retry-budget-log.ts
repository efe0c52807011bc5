/**
Logs and metrics of the retry budget at a dispatcher: how many resends it granted and refused, what is left, and which share of the budget it grants.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {BUDGET_LOG_INTERVAL_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
What became of a resend: `refused` for lack of a token, `unserved` for another reason.
*/
export type ResendOutcome = 'granted' | 'refused' | 'unserved';

/**
Records the resends of all services.
*/
export type RetryBudgetLog = {
	readonly record: (service: core.ServiceName, outcome: ResendOutcome) => void;
	/**
	Returns log fields on what is left of a service's budget.
	*/
	readonly describe: (service: core.ServiceName) => Readonly<Record<string, number>>;
};

type Counts = Record<ResendOutcome, number>;

/**
Creates the log.

@param reportBudget Returns the state of a service's budget at present.
*/
export function createRetryBudgetLog(
	{now, logs, metrics}: Pick<FleetContext, 'now' | 'logs' | 'metrics'>,
	reportBudget: (service: core.ServiceName) => dispatch.BudgetReport | undefined,
): RetryBudgetLog {
	const log = logs('dispatch');
	const services = new Map<core.ServiceName, {loggedAt: number; counts: Counts}>();

	const describe = (service: core.ServiceName) => {
		const {tokens = 0, capacity = 0, share = 0} = reportBudget(service) ?? {};
		return {resendsLeft: round(tokens), resendCapacity: round(capacity), budgetShare: round(share)};
	};

	const registerGauges = (service: core.ServiceName) => {
		const labelled = metrics.label({service});
		labelled.registerGauge('resends_left', () => reportBudget(service)?.tokens ?? 0);
		labelled.registerGauge('resend_capacity', () => reportBudget(service)?.capacity ?? 0);
		labelled.registerGauge('budget_share', () => reportBudget(service)?.share ?? 0);
	};

	const find = (service: core.ServiceName) => {
		const known = services.get(service);
		if (known !== undefined) {
			return known;
		}

		const created = {loggedAt: -Infinity, counts: createCounts()};
		services.set(service, created);
		registerGauges(service);
		return created;
	};

	return {
		record(service, outcome) {
			metrics.count('resends', {service, outcome});
			const recorded = find(service);
			recorded.counts[outcome]++;
			if (now() - recorded.loggedAt < BUDGET_LOG_INTERVAL_MILLISECONDS) {
				return;
			}

			log.info('Requests of a service are sent again.', {service, ...recorded.counts, ...describe(service)});
			services.set(service, {loggedAt: now(), counts: createCounts()});
		},
		describe,
	};
}

function createCounts(): Counts {
	return {granted: 0, refused: 0, unserved: 0};
}

function round(value: number): number {
	return Number(value.toFixed(2));
}
