/**
The command that runs one process on the platform. It stands alone: its process loads nothing that only other commands use.
*/
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as running from '../running.ts';
import * as settings from '../settings.ts';
import * as shared from './command.ts';

/**
`platform`: a process as the platform's settings file describes it.
*/
export class PlatformCommand extends shared.SharedCommand {
	static override paths = [['platform']];
	static override usage = clipanion.Command.Usage({description: 'Run one process of the fleet on the platform'});

	settingsFile = shared.createFlag('settingsFile');
	logLevel = shared.createFlag('logLevel');

	override async carryOut(): Promise<shared.CommandResult> {
		const read = this.readSettings(settings.PLATFORM_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const {settingsFile, logLevel} = read.value;
		const platform = await import('wagtailroute-platform');
		const started = await platform.runProcess(settingsFile, logLevel);
		return started.isErr()
			? results.Err(core.createFailure('bad-setting', started.error.message))
			: running.runUntilStopped(this.context.stdout, 'run: ready', async () => started.value);
	}
}
