/** A numbered log event; the meaning of a number never changes. */
export interface LogEvent {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly message: string;
}
