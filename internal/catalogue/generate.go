package catalogue

import (
	"fmt"
	"math/rand/v2"
)

// generatorSeed is the base seed of the generated catalogues and queries.
const generatorSeed = 0x77696765

// generators maps the name of a catalogue to the function that generates its
// records.
var generators = map[string]func(n int) []record{
	Lots:         generateLots,
	Declarations: generateDeclarations,
}

// Vocabularies of the generated records.
var (
	species  = []string{"imbuia", "jatoba", "cedro", "peroba", "louro", "canela", "freijo", "sucupira"}
	figures  = []string{"figured", "quartered", "crown", "burl", "pommele", "plain"}
	lengths  = []string{"1800mm", "2100mm", "2400mm", "2700mm", "3000mm"}
	halls    = []string{"salao", "patio"}
	grades   = []string{"grade-a", "grade-b", "grade-c"}
	goods    = []string{"rollers", "urea", "cement", "clinker", "billets", "ammonia", "plate", "coil"}
	places   = []string{"astana", "almaty", "aktobe", "karaganda", "pavlodar", "shymkent"}
	papers   = []string{"declaration", "certificate"}
	quarters = []string{"q1", "q2", "q3", "q4"}
	states   = []string{"filed", "draft", "corrected", "audited"}
)

func generateLots(n int) []record {
	random := newRandom(generatorSeed)
	return generate(n, "flitch", func() []string {
		return []string{pickWord(random, species), pickWord(random, figures), pickWord(random, lengths), pickWord(random, halls), pickWord(random, grades)}
	})
}

func generateDeclarations(n int) []record {
	random := newRandom(generatorSeed + 1)
	return generate(n, "paper", func() []string {
		return []string{pickWord(random, papers), pickWord(random, goods), pickWord(random, places), pickWord(random, quarters), pickWord(random, states)}
	})
}

// generate returns n records with numbered ids and the words returned by words.
func generate(n int, prefix string, words func() []string) []record {
	records := make([]record, n)
	for i := range records {
		records[i] = record{id: fmt.Sprintf("%s-%05d", prefix, i), words: words()}
	}
	return records
}

func pickWord(random *rand.Rand, choices []string) string {
	return choices[random.IntN(len(choices))]
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, generatorSeed))
}
