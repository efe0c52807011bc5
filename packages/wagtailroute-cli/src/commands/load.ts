/**
The command that sends a load of requests to addresses and checks the answers.
*/
import * as files from 'node:fs/promises';
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import type * as load from 'wagtailroute-load';
import * as results from 'ts-results-es';
import type * as zod from 'zod';
import * as failures from '../failures.ts';
import * as settings from '../settings.ts';
import * as base from './command.ts';

type LoadModule = typeof load;

/**
`load`: a load of bounded rate, time and concurrency.
*/
export class LoadCommand extends base.BaseCommand {
	static override paths = [['load']];
	static override usage = clipanion.Command.Usage({description: 'Send a bounded load to an address and check every answer'});

	targets = base.createFlag('targets');
	service = base.createFlag('service');
	requestsPerSecond = base.createFlag('requestsPerSecond');
	seconds = base.createFlag('seconds');
	warmupSeconds = base.createFlag('warmupSeconds');
	concurrency = base.createFlag('concurrency');
	mix = base.createFlag('mix');
	seed = base.createFlag('seed');
	standins = base.createFlag('standins');
	format = base.createFlag('format');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.LOAD_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		// Imported only when the command runs: the other commands start faster without this module.
		const module = await import('wagtailroute-load');
		const mix = await readMix(module, read.value.mix);
		return mix.isErr() ? mix : this.runLoad(module, read.value, mix.value);
	}

	private async runLoad(
		module: LoadModule,
		given: zod.output<typeof settings.LOAD_SETTINGS>,
		mix: load.Mix,
	): Promise<base.CommandResult> {
		const result = await module.runLoad({
			...given,
			mix,
			onProgress: progress => {
				this.context.stderr.write(`load: ${module.formatProgress(progress)}\n`);
			},
		});
		if (result.isErr()) {
			return results.Err(core.createFailure('bad-setting', `load: ${result.error.message}`));
		}

		const text = given.format === 'json' ? JSON.stringify(result.value, undefined, 2) : module.formatResult(result.value);
		if (module.isTrue(result.value.truth)) {
			return results.Ok(text);
		}

		this.context.stdout.write(`${text}\n`);
		return results.Err(core.createFailure('wrong-truth', 'load: the truth check found something wrong'));
	}
}

async function readMix(
	module: LoadModule,
	path: string | undefined,
): Promise<results.Result<load.Mix, failures.CommandFailure>> {
	if (path === undefined) {
		return results.Ok(module.DEFAULT_MIX);
	}

	try {
		const mix = module.parseMix(await files.readFile(path, 'utf8'));
		return mix.mapErr(failure => createMixFailure(path, failure.message));
	} catch (error) {
		return results.Err(createMixFailure(path, failures.describeError(error)));
	}
}

function createMixFailure(path: string, reason: string): failures.CommandFailure {
	return core.createFailure('bad-setting', `--mix: the value ${JSON.stringify(path)} is not accepted; accepted: a file with a mix of requests (${failures.toSingleLine(reason)})`);
}
