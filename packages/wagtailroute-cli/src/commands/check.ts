/**
The command that checks catalogue entries before they are sent. It sends nothing.
*/
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import * as checkInput from '../check-input.ts';
import * as checkReport from '../check-report.ts';
import * as settings from '../settings.ts';
import * as base from './command.ts';

/**
`catalogue check FILE`: what the fleet would refuse, what can have no effect, and the differences from the entries in force.
*/
export class CatalogueCheckCommand extends base.BaseCommand {
	static override paths = [['catalogue', 'check']];
	static override usage = clipanion.Command.Usage({description: 'Check the entries of a file (YAML or JSON) without sending them'});

	file = clipanion.Option.String({name: 'FILE'});
	against = base.createFlag('against');
	format = base.createFlag('format');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.CHECK_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const {against, format} = read.value;
		// Imported only when the command runs: the other commands start faster without this module.
		const catalogue = await import('wagtailroute-catalogue');
		const bodies = await checkInput.readBodies(this.file);
		const inForce = against === undefined ? results.Ok(undefined) : await checkInput.readEntriesInForce(against, catalogue.parseEntry);
		const checked = results.Result.all([bodies, inForce]);
		return checked.andThen(([given, present]) => checkReport.reportCheck(
			'catalogue check',
			catalogue.checkEntries(given, present),
			format,
			this.context.stdout,
		));
	}
}
