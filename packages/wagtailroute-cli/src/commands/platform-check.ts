/**
The command that checks a catalogue document of the platform before it is sent. It sends nothing.
*/
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import * as checkReport from '../check-report.ts';
import * as documentInput from '../document-input.ts';
import * as settings from '../settings.ts';
import * as base from './command.ts';

/**
`platform check FILE`: what a control host would refuse, what can have no effect, and the differences from the document in force.
*/
export class PlatformCheckCommand extends base.BaseCommand {
	static override paths = [['platform', 'check']];
	static override usage = clipanion.Command.Usage({description: 'Check a catalogue document of the platform (JSON) without sending it'});

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
		const checks = await import('wagtailroute-platform/checks');
		const value = await documentInput.readDocument(this.file, checks.MAX_DOCUMENT_BYTES);
		const inForce = against === undefined
			? results.Ok(undefined)
			: await documentInput.readDocumentInForce(against, checks.MAX_DOCUMENT_BYTES, checks.parseDocumentInForce);
		const checked = results.Result.all([value, inForce]);
		return checked.andThen(documents => checkReport.reportCheck(
			'platform check',
			checks.checkDocument(...documents),
			format,
			this.context.stdout,
		));
	}
}
