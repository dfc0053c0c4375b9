/** Guards against failed streams when one stage at a time crashes or freezes (I1, I2). */
import {testStageFaults} from './stage-cases.js';

testStageFaults([
  {
    name: 'one killed',
    signal: 'SIGKILL',
    signalAtTokens: [10],
    enginesPerSignal: 1,
  },
  {
    name: 'one frozen',
    signal: 'SIGSTOP',
    signalAtTokens: [10],
    enginesPerSignal: 1,
  },
  {
    name: 'killed one after another',
    signal: 'SIGKILL',
    signalAtTokens: [10, 30],
    enginesPerSignal: 1,
  },
  {
    name: 'the same one frozen twice',
    signal: 'SIGSTOP',
    signalAtTokens: [10, 35],
    enginesPerSignal: 1,
    sameEngines: true,
  },
]);
