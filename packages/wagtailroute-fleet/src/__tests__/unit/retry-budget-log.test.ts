/**
Tests of what logs and metrics show of a retry budget.
*/
import test from 'ava';
import * as telemetry from 'wagtailroute-telemetry';
import {createRetryBudgetLog} from '../../retry-budget-log.ts';

type Line = Readonly<Record<string, unknown>>;

test('resends are logged once in an interval with what is left of the budget and why', async t => {
	const lines: Line[] = [];
	const metrics = telemetry.createMetrics();
	let now = 0;
	const budgetLog = createRetryBudgetLog({
		now: () => now,
		metrics,
		logs: () => ({
			info(message: string, fields: Line) {
				lines.push({message, ...fields});
			},
		}) as unknown as telemetry.Log,
	}, () => ({tokens: 2.345, capacity: 37.2, share: 0.75}));

	budgetLog.record('shop', 'granted');
	budgetLog.record('shop', 'granted');
	budgetLog.record('shop', 'refused');
	now = 1500;
	budgetLog.record('shop', 'unserved');

	const left = {resendsLeft: 2.35, resendCapacity: 37.2, budgetShare: 0.75};
	t.deepEqual(lines, [
		{
			message: 'Requests of a service are sent again.', service: 'shop', granted: 1, refused: 0, unserved: 0, ...left,
		},
		{
			message: 'Requests of a service are sent again.', service: 'shop', granted: 1, refused: 1, unserved: 1, ...left,
		},
	]);
	const text = await metrics.getText();
	t.true(text.includes('wagtailroute_resends_total{service="shop",outcome="granted"} 2'));
	t.true(text.includes('wagtailroute_resends_left{service="shop"} 2.345'));
	t.true(text.includes('wagtailroute_budget_share{service="shop"} 0.75'));
});
