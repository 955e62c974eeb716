#include "policy/length_model.h"

namespace meadowthread {
namespace {

// A curve is made anew after this many observations, or an eighth of all.
constexpr std::uint32_t kRefreshEvery = 16;
constexpr float kRefreshShare = 0.125F;
// Models and templates are few; past this the overall distribution serves.
constexpr std::size_t kMostNames = 1024;
// The wider distribution counts as so many observations of the narrower one.
constexpr float kFirstWeight = 1.0F;
constexpr float kTemplateWeight = 3.0F;
// With nothing observed, lengths are taken as spread evenly over octaves from
// 16 to 4,096 tokens: wide, and with a tail that keeps memory free.
constexpr std::size_t kFirstPriorBucket =
    std::size_t{4} * kLengthBucketsPerOctave;
constexpr std::size_t kEndPriorBucket =
    std::size_t{12} * kLengthBucketsPerOctave;
constexpr float kTailPrior = 1e-3F;

std::string JoinKey(const LengthKey& key) {
  std::string joined = key.workspace;
  joined += '\0';
  joined += key.template_name;
  joined += '\0';
  joined += key.model;
  return joined;
}

LengthWeights FirstPrior() {
  LengthWeights prior = {};
  constexpr float kEach = 1.0F / (kEndPriorBucket - kFirstPriorBucket);
  for (std::size_t i = 0; i < kLengthBuckets; ++i) {
    const bool inside = i >= kFirstPriorBucket && i < kEndPriorBucket;
    prior[i] = inside ? kEach : kTailPrior;
  }
  return prior;
}

}  // namespace

LengthKey LengthKeyOf(const WorkItem& work) {
  return LengthKey{work.workspace, work.template_name, work.model};
}

LearnedLengthModel::LearnedLengthModel(LengthModelOptions options)
    : options(options) {}

void LearnedLengthModel::Add(Histogram& histogram, std::int64_t tokens) const {
  const auto decay = static_cast<float>(this->options.decay);
  for (float& weight : histogram.weights) {
    weight *= decay;
  }
  histogram.weights[LengthBucketOf(tokens)] += 1.0F;
  histogram.total = histogram.total * decay + 1.0F;
  ++histogram.unseen;
}

void LearnedLengthModel::Observe(const LengthKey& key, std::int64_t tokens) {
  this->Add(this->overall, tokens);
  this->Add(this->ModelOf(key.model), tokens);
  this->Add(this->TemplateOf(key), tokens);
  this->Add(this->KeyState(JoinKey(key)), tokens);
}

std::shared_ptr<const LengthCurve> LearnedLengthModel::CurveOf(
    const LengthKey& key) {
  const auto found = this->keys.find(JoinKey(key));
  Histogram& wider = this->options.learns_templates ? this->TemplateOf(key)
                                                    : this->ModelOf(key.model);
  Histogram& own = found == this->keys.end() ? wider : *found->second;
  return this->Curve(own, [&] { return this->PriorOf(key); });
}

std::shared_ptr<const LengthCurve> LearnedLengthModel::OverallCurve() {
  return this->Curve(this->overall, [] { return FirstPrior(); });
}

// One template's outputs are alike whoever asks; a model's are not: what drafts
// reports of a thousand tokens also writes tags of ten.
LengthWeights LearnedLengthModel::PriorOf(const LengthKey& key) {
  const LengthWeights any = Lean(this->overall, FirstPrior(), kFirstWeight);
  const LengthWeights of_model =
      Lean(this->ModelOf(key.model), any, kFirstWeight);
  return this->options.learns_templates
             ? Lean(this->TemplateOf(key), of_model, kTemplateWeight)
             : of_model;
}

std::size_t LearnedLengthModel::BytesPerKey() {
  return sizeof(Histogram) + sizeof(LengthCurve);
}

LengthWeights LearnedLengthModel::Lean(const Histogram& own,
                                       const LengthWeights& prior,
                                       float prior_weight) {
  LengthWeights mixed = {};
  for (std::size_t i = 0; i < kLengthBuckets; ++i) {
    mixed[i] =
        (own.weights[i] + prior_weight * prior[i]) / (own.total + prior_weight);
  }
  return mixed;
}

std::shared_ptr<const LengthCurve> LearnedLengthModel::Curve(
    Histogram& own, const std::function<LengthWeights()>& prior) const {
  const bool stale = own.unseen >= kRefreshEvery ||
                     static_cast<float>(own.unseen) > own.total * kRefreshShare;
  if (own.curve == nullptr || stale) {
    own.curve = std::make_shared<const LengthCurve>(
        Lean(own, prior(), static_cast<float>(this->options.prior_weight)));
    own.unseen = 0;
  }
  return own.curve;
}

LearnedLengthModel::Histogram& LearnedLengthModel::StateOf(
    StringMap<std::unique_ptr<Histogram>>& level, const std::string& name) {
  const auto found = level.find(name);
  if (found != level.end()) {
    return *found->second;
  }
  if (level.size() >= kMostNames) {
    return this->overall;
  }
  auto& added = level[name];
  added = std::make_unique<Histogram>();
  return *added;
}

LearnedLengthModel::Histogram& LearnedLengthModel::ModelOf(
    const std::string& model) {
  return this->StateOf(this->models, model);
}

LearnedLengthModel::Histogram& LearnedLengthModel::TemplateOf(
    const LengthKey& key) {
  return this->StateOf(this->templates,
                       JoinKey({"", key.template_name, key.model}));
}

LearnedLengthModel::Histogram& LearnedLengthModel::KeyState(
    const std::string& joined) {
  const auto found = this->keys.find(joined);
  if (found != this->keys.end()) {
    Histogram& state = *found->second;
    this->recency.splice(this->recency.begin(), this->recency, state.recent);
    return state;
  }
  if (this->keys.size() >= this->options.max_keys) {
    this->keys.erase(this->recency.back());
    this->recency.pop_back();
  }
  this->recency.push_front(joined);
  auto& added = this->keys[joined];
  added = std::make_unique<Histogram>();
  added->recent = this->recency.begin();
  return *added;
}

}  // namespace meadowthread
