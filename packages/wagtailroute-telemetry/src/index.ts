/**
Logs and metrics of a process.
*/
export {
	createLogs,
	type Log,
	type LogFields,
	type LogLevel,
	type LogOptions,
	type Logs,
} from './logs.ts';
export {
	createMetrics,
	type Labels,
	type Metrics,
	type MetricsServer,
	openMetricsServer,
} from './metrics.ts';
