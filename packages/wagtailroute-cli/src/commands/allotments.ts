/**
The command that finds, in the log lines of all hosts, how near each organisation came to its allotment.
*/
import * as readline from 'node:readline';
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import * as settings from '../settings.ts';
import * as base from './command.ts';

const WINDOW_MILLISECONDS = 5000;

/**
`report allotments`: the worst window of each organisation that was refused, from log lines on standard input.
*/
export class ReportAllotmentsCommand extends base.BaseCommand {
	static override paths = [['report', 'allotments']];
	static override usage = clipanion.Command.Usage({description: 'Report the worst window of each organisation, from log lines on standard input'});

	format = base.createFlag('format');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.INPUT_REPORT_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		// Imported only when the command runs: the other commands start faster without this module.
		const report = await import('wagtailroute-report');
		const windows = report.createAllotmentWindows(WINDOW_MILLISECONDS);
		for await (const line of readline.createInterface({input: this.context.stdin})) {
			windows.addLine(line);
		}

		const list = windows.list();
		return results.Ok(read.value.format === 'json' ? JSON.stringify(list, undefined, 2) : report.formatAllotmentWindows(list));
	}
}
