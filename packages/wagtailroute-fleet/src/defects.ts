/**
Errors that ended one task of a host and nothing else. They are defects of this program: expected failures have a type of their own.
*/
import type {FleetContext} from './context.ts';

/**
Creates a function that logs an error with its stack, and counts it.

@param task What ended, for the log and the label of the metric.
*/
export function createDefectHandler({logs, metrics}: Pick<FleetContext, 'logs' | 'metrics'>, task: string): (error: Error) => void {
	const log = logs('defects');
	return error => {
		metrics.count('defects', {task});
		log.error('A task ended with an unexpected error.', {task, error: error.stack});
	};
}
