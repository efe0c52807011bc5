/**
Logs and metrics of a process.
*/
export {
	createLogs,
	type Log,
	type LogFields,
	type LogLevel,
	type LogPlan,
	type Logs,
} from './logs.ts';
export {
	createMetrics,
	type Labels,
	type Metrics,
	openMetricsServer,
} from './metrics.ts';
