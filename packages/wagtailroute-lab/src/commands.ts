/**
The commands of the laboratory.
*/
import * as files from 'node:fs/promises';
import * as path from 'node:path';
import * as clipanion from 'clipanion';
import type * as core from 'wagtailroute-core';
import type * as results from 'ts-results-es';
import {playTasks, type Task} from './campaign.ts';
import {compare, isTold} from './comparison.ts';
import {formatPage, type PlayedVariant} from './page.ts';
import {listScenarios, loadScenario} from './scenario.ts';
import type {Figures} from './tally.ts';
import {formatComparison, formatEstimate} from './text.ts';
import {
	findVariant,
	isParameter,
	MECHANISMS,
	PRESENT,
} from './variants.ts';

const DEFAULT_SEEDS = '200';
const DEFAULT_SCENARIO = 'gateway';
const OUTPUT = 'dist/lab';
const BAD_INPUT = 2;

/**
What all commands have in common.
*/
abstract class LabCommand extends clipanion.Command {
	readonly scenario = clipanion.Option.String('--scenario', DEFAULT_SCENARIO, {description: 'A scenario, or all'});
	readonly seeds = clipanion.Option.String('--seeds', DEFAULT_SEEDS, {description: 'Days for each variant'});
	readonly first = clipanion.Option.String('--first', '1', {description: 'First seed'});
	readonly jobs = clipanion.Option.String('--jobs', {description: 'Processes at most'});
	readonly output = clipanion.Option.String('--output', OUTPUT, {description: 'Folder for the JSON and the page'});

	/**
	Lists the variants to play, the first one being what the others are compared with.
	*/
	protected abstract listVariants(): readonly string[];

	async execute(): Promise<number> {
		const failure = await this.#findFailure();
		if (failure !== undefined) {
			this.context.stderr.write(`lab: ${failure}\n`);
			return BAD_INPUT;
		}

		for (const scenario of this.scenario === 'all' ? await listScenarios() : [this.scenario]) {
			// eslint-disable-next-line no-await-in-loop -- Each uses all processors.
			await this.#play(scenario);
		}

		return 0;
	}

	async #findFailure(): Promise<string | undefined> {
		const scenarios = this.scenario === 'all' ? await listScenarios() : [this.scenario];
		const loaded = await Promise.all(scenarios.map(async name => loadScenario(name)));
		const checked: ReadonlyArray<results.Result<unknown, core.Failure>> = [...loaded, ...this.listVariants().map(name => findVariant(name))];
		const failed = checked.find(result => result.isErr());
		const number = [['--seeds', this.seeds], ['--first', this.first], ['--jobs', this.jobs ?? '1']].find(([, text]) => !/^[1-9]\d*$/v.test(text!));
		return failed?.isErr() === true ? failed.error.message : number && `${number[0]}: ${number[1]} is no number from 1 on`;
	}

	async #play(scenario: string): Promise<void> {
		const names = this.listVariants();
		const tasks = names.map((variant): Task => ({
			scenario, variant, firstSeed: Number(this.first), seeds: Number(this.seeds),
		}));
		const played = await playTasks(tasks, this.jobs === undefined ? undefined : Number(this.jobs));
		const variants = names.map((name, index): PlayedVariant => ({name, figures: played[index]!, compared: compare(played[0]!, played[index]!)}));
		const title = `${scenario}: ${this.seeds} days for each variant`;
		this.context.stdout.write(`${names.length === 2 ? formatComparison(`${title}, ${names.join(' against ')}`, variants[1]!.compared) : formatAll(title, variants)}\n\n`);
		await files.mkdir(this.output, {recursive: true});
		const file = path.join(this.output, `${this.path.join('-')}-${scenario}`);
		await files.writeFile(`${file}.json`, `${JSON.stringify({scenario, tasks, variants: variants.map(({name, compared}) => ({name, compared}))}, undefined, '\t')}\n`);
		await files.writeFile(`${file}.html`, formatPage(title, variants));
	}
}

const SHOWN: ReadonlyArray<keyof Figures> = ['value', 'served', 'earned', 'worstSeconds', 'worstRoute', 'unrepeatableIntoSpell', 'falseSuspensions'];

/**
Writes the differences of many variants from the first, a line each.
*/
function formatAll(title: string, variants: readonly PlayedVariant[]): string {
	const rows = variants.map(({name, compared}, index) => {
		const shown = compared.filter(figure => SHOWN.includes(figure.name))
			.toSorted((left, right) => SHOWN.indexOf(left.name) - SHOWN.indexOf(right.name));
		return [name.padEnd(34), ...shown.map(figure => `${formatEstimate(index === 0 ? figure.second : figure.difference)}${index > 0 && isTold(figure) ? '*' : ' '}`)].join(' ');
	});
	return [`${title}; the first line its figures, the others their differences from it`, `${' '.repeat(34)} ${SHOWN.map(name => name.padStart(18)).join('  ')}`, ...rows].join('\n');
}

class CompareCommand extends LabCommand {
	static override paths = [['compare']];
	static override usage = clipanion.Command.Usage({description: 'Compares two variants over the same seeds'});
	readonly left = clipanion.Option.String();
	readonly right = clipanion.Option.String();

	protected listVariants(): readonly string[] {
		return [this.left, this.right];
	}
}

class AblateCommand extends LabCommand {
	static override paths = [['ablate']];
	static override usage = clipanion.Command.Usage({description: 'Switches off each mechanism, one at a time'});

	protected listVariants(): readonly string[] {
		return [PRESENT.name, ...Object.keys(MECHANISMS).map(name => `no-${name}`), 'all-knowing'];
	}
}

class SweepCommand extends LabCommand {
	static override paths = [['sweep']];
	static override usage = clipanion.Command.Usage({description: 'Plays values of one parameter'});
	readonly parameter = clipanion.Option.String();
	readonly values = clipanion.Option.Rest();

	protected listVariants(): readonly string[] {
		if (!isParameter(this.parameter)) {
			return [PRESENT.name, `${this.parameter}=`];
		}

		const present = PRESENT.policy[this.parameter];
		const values = this.values.length > 0 ? this.values : [0.5, 0.7, 1.4, 2].map(times => String(present * times));
		return [PRESENT.name, ...values.map(value => `${this.parameter}=${value}`)];
	}
}

/**
Creates the command line.
*/
export function createLabCli(): clipanion.Cli {
	const cli = new clipanion.Cli({binaryName: 'npm run lab --', binaryLabel: 'Laboratory of policies'});
	for (const command of [CompareCommand, AblateCommand, SweepCommand, clipanion.Builtins.HelpCommand]) {
		cli.register(command);
	}

	return cli;
}
