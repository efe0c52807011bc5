/**
The commands that a leader has proposed and that are not committed yet.

A control host sends a command to the leader again when it gets no answer in time, and an operator or a backend server sends it again through other control hosts. While the
group is slow, each copy in the log would make it slower. A command that a pending one makes superfluous therefore waits for that one instead of being appended.
*/
import * as generations from 'wagtailroute-generations';
import type {ProposalAnswer} from './messages.ts';

/**
Proposes commands, each at most once at a time.
*/
export type PendingProposals = {
	/**
	Returns the answer to a pending command that makes this one superfluous, otherwise to this one.
	*/
	readonly propose: (command: generations.GenerationCommand) => Promise<ProposalAnswer>;
};

type PendingProposal = {
	readonly command: generations.GenerationCommand;
	readonly answer: Promise<ProposalAnswer>;
};

/**
Creates an empty list.

@param append Appends a command to the log; resolves once its outcome is known, or can't be known.
*/
export function createPendingProposals(append: (command: generations.GenerationCommand) => Promise<ProposalAnswer>): PendingProposals {
	const pending = new Set<PendingProposal>();
	return {
		async propose(command) {
			const covering = pending.values().find(item => isCovered(command, item.command));
			if (covering !== undefined) {
				return covering.answer;
			}

			const proposal = {command, answer: append(command)};
			pending.add(proposal);
			try {
				return await proposal.answer;
			} finally {
				pending.delete(proposal);
			}
		},
	};
}

/**
Returns whether a command changes nothing after another one.
*/
function isCovered(command: generations.GenerationCommand, earlier: generations.GenerationCommand): boolean {
	return command.name === earlier.name && COVERAGE_CHECKS[command.name](command as never, earlier as never);
}

type CoverageChecks = {
	readonly [Name in generations.GenerationCommand['name']]: (
		command: Extract<generations.GenerationCommand, {name: Name}>,
		earlier: Extract<generations.GenerationCommand, {name: Name}>,
	) => boolean;
};

const COVERAGE_CHECKS: CoverageChecks = {
	put: (command, earlier) => generations.getSubmittedVersion(command.stored) <= generations.getSubmittedVersion(earlier.stored),
	retire: ({retirement}, earlier) => retirement.upstream === earlier.retirement.upstream
		&& (retirement.state === earlier.retirement.state || earlier.retirement.state === 'gone'),
};
