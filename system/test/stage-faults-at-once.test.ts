/** Guards against failed streams when two stages crash or freeze at once (I1, I2). */
import {testStageFaults} from './stage-cases.js';

testStageFaults([
  {
    name: 'two killed at once',
    signal: 'SIGKILL',
    signalAtTokens: [15],
    enginesPerSignal: 2,
  },
  {
    name: 'two frozen at once',
    signal: 'SIGSTOP',
    signalAtTokens: [15],
    enginesPerSignal: 2,
  },
]);
