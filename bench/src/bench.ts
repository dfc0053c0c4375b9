/** A bench: answers one question by measurement. */
export interface Bench {
  readonly name: string;
  readonly question: string;
  /**
   * Measures and emits one line for each figure: seed, policy, size, figure,
   * unit and, if they exist, bound, target and whether the target was met.
   */
  run(options: {
    /** Runs only the smallest size, to check that the bench works. */
    small: boolean;
    emit(line: object): void;
  }): Promise<void>;
}
