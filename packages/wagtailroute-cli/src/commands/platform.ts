/**
The command that runs one process on the platform. It is in a module of its own, so that its process loads nothing that only other
commands use.
*/
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as running from '../running.ts';
import * as settings from '../settings.ts';
import * as signals from '../signals.ts';
import * as base from './command.ts';

/**
`platform`: one process, described by the settings file of the platform.
*/
export class PlatformCommand extends base.BaseCommand {
	static override paths = [['platform']];
	static override usage = clipanion.Command.Usage({description: 'Run one process of the fleet on the platform'});

	settingsFile = base.createFlag('settingsFile');
	logLevel = base.createFlag('logLevel');
	overloadControl = base.createFlag('overloadControl');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.PLATFORM_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const {settingsFile, logLevel, overloadControl} = read.value;
		const platform = await import('wagtailroute-platform');
		return running.runUntilStopped(this.context.stdout, 'run: ready', async () => {
			const started = await platform.runProcess(settingsFile, {level: logLevel, overloadControl});
			return started.mapErr(({message}) => core.createFailure('bad-setting', message));
		}, signals.createStopSignalWaiter('reload'));
	}
}
